#include "sessions/client_listener.h"

#include <algorithm>
#include <utility>

#include "log/log.h"
#include "pgwire/build.h"

namespace sloestack::downstream {
namespace {

constexpr Micros kAcceptRetryDelayUs = 20'000;  // while no descriptor is free
constexpr Micros kDescriptorWarningIntervalUs = 1'000'000;
constexpr Micros kLoggedPauseUs = 100'000;

// Idle sessions may use the clients' quota divided by kIdleQuotaDivisor; beyond that, sessions are closed
// that have been idle for kExcessIdleTimeoutUs.
constexpr int kIdleQuotaDivisor = 3;
constexpr Micros kExcessIdleTimeoutUs = 100'000;
constexpr Micros kIdleCheckIntervalUs = 50'000;

// Times from the beginning of a stop. The process may be killed after kMaxLongestWaitUs plus 0.7 s; by then
// no request may be open.
constexpr Micros kMaxLongestWaitUs = 3'000'000;
constexpr Micros kMinListenTimeUs = 500'000;           // load balancers may still send new clients
constexpr Micros kMaxListenTimeUs = 800'000;           // however many clients still connect
constexpr Micros kListenTimeAfterArrivalUs = 100'000;  // after the last client was accepted
// A client that has connected is given this time to send its first query.
constexpr Micros kFirstQueryGraceUs = 200'000;
constexpr Micros kStopIdleTimeoutUs = 500'000;  // sessions idle for longer are closed early
constexpr Micros kCloseAllBeforeLongestWaitUs = 800'000;
constexpr Micros kFailAllAfterLongestWaitUs = 500'000;  // then open requests get an error response
constexpr Micros kRejectInputUs = 50'000;  // then what clients have sent besides is rejected for this time
constexpr Micros kLastLingerUs = 100'000;
constexpr Micros kStopIntervalUs = 50'000;

}  // namespace

ClientListener::ClientListener(net::Loop& loop, Deadlines& deadlines, const Quotas& quotas,
                               net::ByteAccount& account, net::MemoryBudget& large_statement_budget,
                               metrics::RequestMetrics& metrics, const ListenEndpoint& listen_endpoint,
                               traffic::RequestDispatcher& dispatcher, std::vector<std::string> class_names,
                               std::vector<bool> class_may_overlap, bool uses_sessions, Micros longest_wait,
                               std::uint64_t cancel_key_seed)
    : loop_(loop),
      deadlines_(deadlines),
      client_quota_(quotas.clients),
      overflow_quota_(quotas.overflow),
      lingering_quota_(quotas.lingering),
      listen_endpoint_(listen_endpoint),
      context_{loop,
               deadlines,
               dispatcher,
               account,
               large_statement_budget,
               quotas.clients,
               lingering_quota_,
               metrics,
               std::move(class_names),
               std::move(class_may_overlap),
               uses_sessions,
               CancelKeys(cancel_key_seed)},
      longest_wait_(std::min(longest_wait, kMaxLongestWaitUs)) {}

ClientListener::~ClientListener() = default;

template <class Visit>
void ClientListener::for_each_session(Visit visit) {
    for (auto it = sessions_.begin(); it != sessions_.end();) {
        auto& session = **it;
        ++it;  // closing removes the session from the list
        if (!visit(session)) return;
    }
}

// Clients that send a single query and stay connected must not use up the whole quota, as each client limits
// only its own number of connections.
void ClientListener::close_long_idle_sessions() {
    const Time now = deadlines_.now();
    auto idle_count = std::count_if(sessions_.begin(), sessions_.end(),
                                    [](const auto& session) { return session->is_idle_after_query(); });
    for_each_session([&](ClientSession& session) {
        if (idle_count * kIdleQuotaDivisor <= client_quota_.limit()) return false;
        const bool is_long_idle =
            session.last_active_at() <= now - kExcessIdleTimeoutUs && session.is_idle_after_query();
        if (is_long_idle) {
            session.finish(metrics::SessionEnd::idle);
            --idle_count;
        }
        return true;
    });
    close_idle_.set(deadlines_, now + kIdleCheckIntervalUs, [this] { close_long_idle_sessions(); });
}

void ClientListener::open() {
    if (stopping_since_) return;
    close_long_idle_sessions();
    const auto accepted = [this](evutil_socket_t fd) { on_accepted(fd); };
    const auto failed = [this] { pause_accepting(); };
    const auto& inherited = listen_endpoint_.inherited_socket;
    if (inherited)
        listener_ = std::make_unique<net::Listener>(loop_, *inherited, accepted, failed);
    else
        listener_ = std::make_unique<net::Listener>(loop_, listen_endpoint_.address, accepted, failed);
}

void ClientListener::on_accepted(evutil_socket_t fd) {
    last_accepted_at_ = deadlines_.now();
    context_.session_metrics.count_accepted();
    auto slot = client_quota_.acquire();
    if (!slot && close_one_idle_session()) slot = client_quota_.acquire();
    const bool reject_requests = !slot;
    if (reject_requests) slot = overflow_quota_.acquire();
    const Time connected_since = queue_waits_since_ ? queue_waits_since_ : last_accepted_at_;
    auto session = std::make_unique<ClientSession>(context_, static_cast<ClientSessionOwner&>(*this), fd,
                                                   std::move(slot), connected_since, reject_requests);
    if (!session->is_open()) return;
    const auto* key = session.get();
    positions_[key] = sessions_.insert(sessions_.end(), std::move(session));
    if (!can_accept()) pause_accepting();
}

// Returns whether a descriptor is free for the next client, after closing an idle session if necessary.
bool ClientListener::can_accept() {
    return !client_quota_.is_full() || !overflow_quota_.is_full() || close_one_idle_session();
}

// No descriptor is left: new clients wait in the kernel's accept queue.
void ClientListener::pause_accepting() {
    const Time now = deadlines_.now();
    if (now - last_warning_at_ > kDescriptorWarningIntervalUs) {
        last_warning_at_ = now;
        log_descriptor_use();
    }
    if (!listener_) return;
    if (!accepting_paused_at_) accepting_paused_at_ = now;
    if (!queue_waits_since_) queue_waits_since_ = now;
    listener_->pause();
    resume_accepting_.set(deadlines_, now + kAcceptRetryDelayUs, [this] { resume_accepting(); });
}

void ClientListener::resume_accepting() {
    if (!can_accept()) return pause_accepting();
    const Micros paused_for = deadlines_.now() - std::exchange(accepting_paused_at_, 0);
    context_.session_metrics.count_accept_pause(paused_for);
    if (paused_for >= kLoggedPauseUs)
        log::line("accepting resumed", "after " + std::to_string(paused_for / kMicrosPerMillisecond) + " ms");
    if (listener_ && listener_->resume()) queue_waits_since_ = 0;
}

void ClientListener::log_descriptor_use() {
    log::line("out of descriptors", std::to_string(sessions_.size()) + " clients");
    int without_query = 0;
    int idle = 0;
    int lingering = 0;
    for (const auto& session : sessions_) {
        if (session->is_lingering())
            ++lingering;
        else if (session->is_idle_after_query())
            ++idle;
        else if (!session->has_sent_query())
            ++without_query;
    }
    log::line("descriptors in use", std::to_string(client_quota_.in_use()) + " served, " +
                                        std::to_string(overflow_quota_.in_use()) + " rejected, " +
                                        std::to_string(lingering) + " lingering; idle " +
                                        std::to_string(idle) + ", started no query " +
                                        std::to_string(without_query));
}

// Closes a session that has sent no query, or else the one that has been idle for longest, or else one that
// has stopped in the middle of a message: hundreds of such clients must not keep other clients out.
bool ClientListener::close_one_idle_session() {
    if (lingering_quota_.is_full() && !release_lingering_slot()) return false;
    for (const auto may_close :
         {&ClientSession::is_idle_before_first_query, &ClientSession::is_idle_after_query,
          &ClientSession::is_stalled_in_message}) {
        for (auto& session : sessions_) {
            if ((session.get()->*may_close)()) {
                session->finish_with_error(metrics::SessionEnd::displaced, pgwire::code::kTooManyConnections,
                                           "too many clients while the rest of a message was missing");
                return true;
            }
        }
    }
    return false;
}

// Closes the lingering session that was used least recently.
bool ClientListener::release_lingering_slot() {
    const auto oldest = std::find_if(sessions_.begin(), sessions_.end(),
                                     [](const auto& session) { return session->is_lingering(); });
    if (oldest == sessions_.end()) return false;
    (*oldest)->close(metrics::SessionEnd::displaced);
    return true;
}

void ClientListener::shrink_to_quota() {
    int excess = client_quota_.in_use() - client_quota_.limit();
    for_each_session([&](ClientSession& session) {
        if (excess <= 0) return false;
        if (session.is_idle_after_query() || session.is_idle_before_first_query()) {
            session.finish(metrics::SessionEnd::displaced);
            --excess;
        }
        return true;
    });
}

void ClientListener::stop(bool has_successor) {
    if (stopping_since_) return;
    has_successor_ = has_successor;
    stopping_since_ = deadlines_.now();
    context_.linger_deadline = stopping_since_ + longest_wait_ + kFailAllAfterLongestWaitUs + kLastLingerUs;
    log::line("stopping", std::to_string(sessions_.size()) + " clients connected");
    continue_stop();
}

// Sessions are closed between requests: idle ones early, but those in use late, because while the other
// proxies restart as well their clients cannot connect elsewhere.
void ClientListener::continue_stop() {
    const Time now = deadlines_.now();
    const Micros stopped_for = now - stopping_since_;
    const Micros fail_all_after = longest_wait_ + kFailAllAfterLongestWaitUs;
    const Micros max_listen_time = std::min(kMaxListenTimeUs, fail_all_after - kFirstQueryGraceUs);
    const bool may_stop_listening =
        stopped_for >= kMinListenTimeUs &&
        (now >= last_accepted_at_ + kListenTimeAfterArrivalUs || stopped_for >= max_listen_time);
    if (listener_ && (has_successor_ || may_stop_listening)) try_to_stop_listening();
    const bool close_all =
        stopped_for >= std::max(kMinListenTimeUs, longest_wait_ - kCloseAllBeforeLongestWaitUs);
    // A connection that is closed right after its response loses no query. With a successor, sessions close
    // this way from the start.
    context_.close_after_response = has_successor_ || close_all;
    const bool fail_all = stopped_for >= fail_all_after;
    // The process may not have run for a while: the last step follows the one that fails the requests.
    const bool reject_input = failed_all_at_ && now >= failed_all_at_ + kRejectInputUs;
    if (fail_all) end_listening(now);
    for_each_session([&](ClientSession& session) {
        if (reject_input)
            session.finish_with_error(metrics::SessionEnd::stopping, pgwire::code::kCannotConnectNow,
                                      "the proxy is stopping");
        else if (fail_all)
            session.fail_requests_and_finish(metrics::SessionEnd::stopping);
        else if (session.is_between_requests() && !session.awaits_first_query(now - kFirstQueryGraceUs) &&
                 (close_all || session.last_active_at() < now - kStopIdleTimeoutUs))
            session.finish(metrics::SessionEnd::stopping);
        return true;
    });
    continue_stop_.set(deadlines_, now + kStopIntervalUs, [this] { continue_stop(); });
}

// Open requests are failed from now on.
void ClientListener::end_listening(Time now) {
    try_to_stop_listening();
    listener_.reset();
    if (!failed_all_at_) failed_all_at_ = now;
    context_.linger_deadline = failed_all_at_ + kLastLingerUs;
}

// Closing the socket resets the connections that are still in the kernel's accept queue. If accept() fails,
// it stays open until the next attempt to stop listening.
void ClientListener::try_to_stop_listening() {
    resume_accepting_.clear();
    if (listener_ && listener_->accept_pending()) listener_.reset();
}

void ClientListener::session_used(ClientSession& session) {
    sessions_.splice(sessions_.end(), sessions_, positions_.at(&session));
}

void ClientListener::session_closed(ClientSession& session) {
    const auto position = positions_.find(&session);
    if (position == positions_.end()) return;
    loop_.delete_later(std::move(*position->second));
    sessions_.erase(position->second);
    positions_.erase(position);
}

}  // namespace sloestack::downstream
