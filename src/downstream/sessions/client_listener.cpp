#include "sessions/client_listener.h"

#include <algorithm>

#include "log/log.h"

namespace sloestack::downstream {
namespace {

constexpr Micros kAcceptRetryDelayUs = 20'000;  // while no descriptor is free
constexpr Micros kDescriptorWarningIntervalUs = 1'000'000;

// Idle sessions may hold one part in so many of the clients' quota; beyond that they are closed once idle for
// kCrowdedIdleTimeoutUs.
constexpr int kIdleQuotaDivisor = 3;
constexpr Micros kCrowdedIdleTimeoutUs = 100'000;
constexpr Micros kIdleCheckIntervalUs = 50'000;

// After a stop. The process may be killed once kMaxLongestWaitUs and 0.7 s more have passed; no request may
// be open then.
constexpr Micros kMaxLongestWaitUs = 3'000'000;
constexpr Micros kMinListenTimeUs = 500'000;           // load balancers may still send clients
constexpr Micros kListenTimeAfterArrivalUs = 100'000;  // after the last of them
constexpr Micros kStopIdleTimeoutUs = 500'000;         // a session idle for so long is closed early
constexpr Micros kCloseAllBeforeLongestWaitUs = 800'000;
constexpr Micros kFailAllAfterLongestWaitUs = 500'000;  // open requests are answered with an error
constexpr Micros kLastLingerUs = 100'000;
constexpr Micros kStopIntervalUs = 50'000;

}  // namespace

ClientListener::ClientListener(net::Loop& loop, Deadlines& deadlines, const Quotas& quotas,
                               net::ByteAccount& account, net::MemoryBudget& large_statement_budget,
                               metrics::RequestMetrics& metrics, const ListenEndpoint& listen_endpoint,
                               traffic::RequestDispatcher& dispatcher, std::vector<std::string> class_names,
                               std::vector<bool> class_may_overlap, bool uses_sessions, Micros longest_wait,
                               std::uint64_t seed)
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
               CancelKeys(seed)},
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

// Clients bound how many connections they hold: this keeps clients that ask once and stay connected from
// taking the whole quota.
void ClientListener::close_long_idle_sessions() {
    const Time now = deadlines_.now();
    auto idle_count = std::count_if(sessions_.begin(), sessions_.end(), [](const auto& session) {
        return session->has_sent_query() && session->is_idle();
    });
    for_each_session([&](ClientSession& session) {
        if (idle_count * kIdleQuotaDivisor <= client_quota_.limit()) return false;
        const bool is_long_idle = session.has_sent_query() &&
                                  session.last_active_at() <= now - kCrowdedIdleTimeoutUs &&
                                  session.is_idle();
        if (is_long_idle) {
            session.finish();
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
    auto slot = client_quota_.acquire();
    if (!slot && close_one_idle_session()) slot = client_quota_.acquire();
    const bool reject_requests = !slot;
    if (reject_requests) slot = overflow_quota_.acquire();
    auto session = std::make_unique<ClientSession>(context_, static_cast<ClientSessionOwner&>(*this), fd,
                                                   std::move(slot), reject_requests);
    if (!session->is_open()) return;
    const auto* key = session.get();
    positions_[key] = sessions_.insert(sessions_.end(), std::move(session));
    if (client_quota_.is_full() && overflow_quota_.is_full()) pause_accepting();
}

// No descriptor is left: new clients wait in the kernel's queue.
void ClientListener::pause_accepting() {
    const Time now = deadlines_.now();
    if (now - last_warning_at_ > kDescriptorWarningIntervalUs) {
        last_warning_at_ = now;
        log::line("out of descriptors", std::to_string(sessions_.size()) + " clients");
    }
    if (!listener_) return;
    listener_->pause();
    resume_accepting_.set(deadlines_, now + kAcceptRetryDelayUs, [this] {
        if (client_quota_.is_full() && overflow_quota_.is_full()) return pause_accepting();
        if (listener_) listener_->resume();
    });
}

// A client that has sent no query goes first, then the one idle for longest: clients that connect by the
// hundreds and send nothing must not keep others out.
bool ClientListener::close_one_idle_session() {
    if (lingering_quota_.is_full() && !release_lingering_slot()) return false;
    for (const auto may_close : {&ClientSession::is_idle_before_first_query, &ClientSession::is_idle}) {
        for (auto& session : sessions_) {
            if ((session.get()->*may_close)()) {
                session->finish();
                return true;
            }
        }
    }
    return false;
}

// Closes the session that lingers for longest.
bool ClientListener::release_lingering_slot() {
    const auto oldest = std::find_if(sessions_.begin(), sessions_.end(),
                                     [](const auto& session) { return session->is_lingering(); });
    if (oldest == sessions_.end()) return false;
    (*oldest)->close();
    return true;
}

void ClientListener::shrink_to_quota() {
    int excess = client_quota_.in_use() - client_quota_.limit();
    for_each_session([&](ClientSession& session) {
        if (excess <= 0) return false;
        if (session.is_idle()) {
            session.finish();
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

// Where the other proxies restart as well, clients cannot go elsewhere: sessions in use are closed late, idle
// ones early, each between requests.
void ClientListener::continue_stop() {
    const Time now = deadlines_.now();
    const Micros stopped_for = now - stopping_since_;
    const bool may_stop_listening =
        stopped_for >= kMinListenTimeUs && now >= last_accepted_at_ + kListenTimeAfterArrivalUs;
    if (listener_ && (has_successor_ || may_stop_listening)) stop_listening();
    const bool close_all =
        stopped_for >= std::max(kMinListenTimeUs, longest_wait_ - kCloseAllBeforeLongestWaitUs);
    // Closed right behind its response a connection loses no query; with a successor that begins at once.
    context_.close_after_response = has_successor_ || close_all;
    const bool fail_all = stopped_for >= longest_wait_ + kFailAllAfterLongestWaitUs;
    if (fail_all) stop_listening();
    for_each_session([&](ClientSession& session) {
        if (fail_all)
            session.fail_requests_and_finish();
        else if (session.is_between_requests() &&
                 (close_all || session.last_active_at() < now - kStopIdleTimeoutUs))
            session.finish();
        return true;
    });
    continue_stop_.set(deadlines_, now + kStopIntervalUs, [this] { continue_stop(); });
}

void ClientListener::stop_listening() {
    resume_accepting_.clear();
    if (!listener_) return;
    // Connections that the kernel has accepted would be reset once nothing listens.
    listener_->accept_pending();
    listener_.reset();
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
