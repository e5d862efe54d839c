#include "discovery/discovery_watch.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "discovery/poll_request.h"
#include "log/log.h"

namespace sloestack::discovery {
namespace {

constexpr Micros kMinHoldUs = 1'000;  // discovery responds at once to a request without a hold
constexpr int kHttpOk = 200;
// As many as time out in a row within the bound on notifications.
constexpr std::size_t kMaxOverduePolls = 2;
constexpr Micros kOverdueDelayUs = decision::PollTimeouts::kHoldSlackUs;  // at least

}  // namespace

DiscoveryWatch::DiscoveryWatch(net::Loop& loop, Deadlines& deadlines, const sockaddr_in& address,
                               std::string host, EndpointListParser& parser,
                               std::optional<std::int64_t> revision, traffic::EndpointListListener& listener,
                               const decision::PollTimeouts& timeouts)
    : loop_(loop),
      deadlines_(deadlines),
      address_(address),
      host_(std::move(host)),
      next_address_(address),
      next_host_(host_),
      parser_(parser),
      revision_(revision),
      listener_(listener),
      timeouts_(timeouts) {}

void DiscoveryWatch::start() {
    if (!is_polling_) poll_again();
}

// While a move waits, the watch goes on at the old address for as long as its connection is there.
void DiscoveryWatch::poll_again() {
    const bool keeps_connection = connection_ && connection_->can_be_reused();
    if (move_timer_.is_set() && !keeps_connection) return move();
    poll();
}

void DiscoveryWatch::change_address(const sockaddr_in& address, std::string host) {
    const bool has_open_poll = is_polling_ && connection_ && !connection_->is_connecting();
    next_address_ = address;
    next_host_ = std::move(host);
    if (!has_open_poll || timeouts_.move_delay_us() == 0) return move();
    if (move_timer_.is_set()) return;
    move_timer_.set(deadlines_, deadlines_.now() + timeouts_.move_delay_us(), [this] { move(); });
}

void DiscoveryWatch::move() {
    move_timer_.clear();
    address_ = next_address_;
    host_ = next_host_;
    revision_.reset();
    parser_.on_address_change();
    drop_connection();
    drop_overdue_polls();
    poll_timeout_.clear();
    timeouts_.on_address_change();
    poll();
}

void DiscoveryWatch::poll() {
    is_polling_ = true;
    poll_started_at_ = deadlines_.now();
    current_poll_ = timeouts_.next();
    if (connection_ && connection_->can_be_reused()) return send_request(*connection_);
    drop_connection();
    connect();
}

void DiscoveryWatch::connect() {
    const auto connect_timeout = std::min(current_poll_.timeout_us, decision::PollBackoff::kPollTimeoutUs);
    poll_timeout_.set(deadlines_, poll_started_at_ + connect_timeout, [this] {
        log_failure("connection attempt timed out");
        on_poll_failed(PollFailure::no_response);
    });
    connection_ = std::make_unique<PollConnection>(*this);
    if (connection_->open(loop_, address_)) return;
    log_failure("cannot open a connection");
    on_poll_failed(PollFailure::no_response);
}

void DiscoveryWatch::on_poll_connected(PollConnection& connection) {
    if (is_current(connection)) send_request(connection);
}

void DiscoveryWatch::send_request(PollConnection& connection) {
    poll_timeout_.set(deadlines_, poll_started_at_ + current_poll_.timeout_us, [this] { on_poll_timeout(); });
    if (!revision_) return connection.send(complete_list_request(host_));
    // The time spent connecting is subtracted from the hold,
    // because their sum bounds how late a change is received.
    const Micros elapsed = deadlines_.now() - poll_started_at_;
    const Micros hold = std::max(kMinHoldUs, current_poll_.hold_us - elapsed);
    connection.send(changes_request(host_, *revision_, hold));
}

void DiscoveryWatch::on_poll_response(PollConnection& connection, const http::ResponseParser& response) {
    if (!is_current(connection)) return on_overdue_response(connection, response);
    // At once, because discovery cannot report a change between polls.
    if (apply_list(response, is_long_poll(), response_delay())) return poll_again();
    if (move_timer_.is_set()) return move();
    on_poll_failed(response.status() == kHttpOk ? PollFailure::no_response : PollFailure::rejected);
}

// If the response has been held for a change, that is no delay.
Micros DiscoveryWatch::response_delay() const {
    return deadlines_.now() - poll_started_at_ - (is_long_poll() ? current_poll_.hold_us : 0);
}

bool DiscoveryWatch::apply_list(const http::ResponseParser& response, bool was_long_poll, Micros delay) {
    if (response.status() != kHttpOk) {
        log_failure("status " + std::to_string(response.status()));
        return false;
    }
    EndpointList list;
    try {
        list = parser_.parse(response.body(), revision_);
    } catch (const std::runtime_error& error) {
        log_failure(error.what());
        return false;
    }
    timeouts_.on_list(was_long_poll, delay);
    revision_ = list.revision;
    has_completed_poll_ = true;
    drop_overdue_polls();
    if (list.complete || !list.endpoints.empty())
        log::line("discovery list", "revision " + std::to_string(list.revision) + ", " +
                                        std::to_string(list.endpoints.size()) +
                                        (list.complete ? " endpoints" : " changes"));
    listener_.on_endpoint_list(
        list.complete ? decision::EndpointListKind::complete : decision::EndpointListKind::changes,
        std::move(list.endpoints));
    return true;
}

void DiscoveryWatch::on_poll_broken(PollConnection& connection, PollFailure failure,
                                    const std::string& reason) {
    if (!is_current(connection)) return on_overdue_broken(connection, failure);
    // That is not a failed poll; the request is sent again on a new connection.
    const bool is_stale = failure == PollFailure::stale_connection;
    if (move_timer_.is_set()) return move();
    if (is_stale && !shows_overload()) return poll();
    log_failure(reason);
    const bool is_rejection = failure != PollFailure::no_response && timeouts_.is_discovery_shared();
    on_poll_failed(is_rejection ? PollFailure::rejected : PollFailure::no_response);
}

// Returns whether a connection kept from the last poll is more likely to be closed by an overloaded discovery
// than by the end of a watch.
bool DiscoveryWatch::shows_overload() const {
    const bool was_due = deadlines_.now() - poll_started_at_ >= current_poll_.hold_us;
    return timeouts_.is_discovery_shared() && (was_due || timeouts_.is_discovery_congested());
}

// A long poll that times out may have missed a change, whose notification is late already. The next poll
// therefore starts at once instead of after the backoff of a failure. The proxies do not send these polls to
// discovery at the same time, because each uses a different hold time.
void DiscoveryWatch::on_poll_timeout() {
    if (move_timer_.is_set()) return move();
    keep_overdue();
    if (is_long_poll()) {
        log::line("discovery silent", "watch reopened");
        timeouts_.on_silence(true);
        return poll();
    }
    log_failure("no response before the time-out");
    on_poll_failed(PollFailure::no_response);
}

void DiscoveryWatch::on_poll_failed(PollFailure failure) {
    const bool rejected = failure == PollFailure::rejected;
    if (rejected)
        timeouts_.on_rejection(is_long_poll());
    else
        timeouts_.on_silence(is_long_poll());
    is_polling_ = false;
    has_completed_poll_ = true;
    drop_connection();
    poll_timeout_.clear();
    listener_.on_poll_failed({rejected, deadlines_.now() - poll_started_at_});
}

void DiscoveryWatch::log_failure(const std::string& reason) const {
    const auto milliseconds = [](Micros duration) {
        return std::to_string(duration / kMicrosPerMillisecond);
    };
    log::line("discovery failed", reason + ", " + milliseconds(deadlines_.now() - poll_started_at_) +
                                      " ms after the start of a poll with a hold of " +
                                      milliseconds(current_poll_.hold_us) + " ms");
}

// ---- Polls that have timed out ----
void DiscoveryWatch::on_overdue_response(PollConnection& connection, const http::ResponseParser& response) {
    const auto overdue = take_overdue(connection);
    if (!overdue || !apply_list(response, overdue->is_long_poll, kOverdueDelayUs)) return;
    log::line("discovery overdue", "list received from a poll that had timed out");
    if (!is_polling_) poll();
}

void DiscoveryWatch::on_overdue_broken(PollConnection& connection, PollFailure failure) {
    const auto overdue = take_overdue(connection);
    if (overdue && failure != PollFailure::no_response) timeouts_.on_rejection(overdue->is_long_poll);
}

void DiscoveryWatch::keep_overdue() {
    overdue_polls_.push_back({std::move(connection_), is_long_poll()});
    if (overdue_polls_.size() > kMaxOverduePolls) overdue_polls_.pop_front();
}

std::optional<DiscoveryWatch::OverduePoll> DiscoveryWatch::take_overdue(const PollConnection& connection) {
    const auto found =
        std::find_if(overdue_polls_.begin(), overdue_polls_.end(),
                     [&](const OverduePoll& overdue) { return overdue.connection.get() == &connection; });
    if (found == overdue_polls_.end()) return std::nullopt;
    OverduePoll overdue{nullptr, found->is_long_poll};
    found->connection->close();
    loop_.delete_later(std::move(found->connection));
    overdue_polls_.erase(found);
    return overdue;
}

void DiscoveryWatch::drop_overdue_polls() {
    for (auto& overdue : overdue_polls_) {
        overdue.connection->close();
        loop_.delete_later(std::move(overdue.connection));
    }
    overdue_polls_.clear();
}

void DiscoveryWatch::drop_connection() {
    if (!connection_) return;
    connection_->close();
    loop_.delete_later(std::move(connection_));
}

}  // namespace sloestack::discovery
