#include "discovery/discovery_watch.h"

#include <algorithm>
#include <utility>

#include "discovery/poll_request.h"
#include "log/log.h"

namespace sloestack::discovery {
namespace {

constexpr Micros kMinHoldUs = 1'000;  // discovery responds at once to a request without a hold
constexpr std::size_t kMaxUnreadBytes = std::size_t{256} * 1024;
constexpr int kHttpOk = 200;

}  // namespace

DiscoveryWatch::DiscoveryWatch(net::Loop& loop, Deadlines& deadlines, const sockaddr_in& address,
                               std::string host, EndpointListParser& parser,
                               std::optional<std::int64_t> revision, traffic::EndpointListListener& listener,
                               const decision::PollTimeouts& timeouts)
    : loop_(loop),
      deadlines_(deadlines),
      address_(address),
      host_(std::move(host)),
      parser_(parser),
      revision_(revision),
      listener_(listener),
      timeouts_(timeouts) {}

void DiscoveryWatch::start() {
    if (state_ == State::stopped) poll();
}

void DiscoveryWatch::change_address(const sockaddr_in& address, std::string host) {
    address_ = address;
    host_ = std::move(host);
    revision_.reset();
    parser_.on_address_change();
    drop_connection();
    poll_timeout_.clear();
    timeouts_.on_address_change();
    poll();
}

void DiscoveryWatch::poll() {
    response_ = http::ResponseParser();
    poll_started_at_ = deadlines_.now();
    current_poll_ = timeouts_.next();
    connection_reused_ = connection_ != nullptr;
    if (connection_reused_)
        send_request();
    else
        connect();
}

void DiscoveryWatch::connect() {
    state_ = State::connecting;
    const auto connect_timeout = std::min(current_poll_.timeout_us, decision::PollBackoff::kPollTimeoutUs);
    poll_timeout_.set(deadlines_, poll_started_at_ + connect_timeout,
                      [this] { on_poll_failed("connection attempt timed out"); });
    connection_ = net::Connection::open(loop_, address_, kMaxUnreadBytes, *this);
    if (!connection_) on_poll_failed("cannot open a connection");
}

void DiscoveryWatch::connected() { send_request(); }

void DiscoveryWatch::send_request() {
    state_ = State::awaiting_response;
    poll_timeout_.set(deadlines_, poll_started_at_ + current_poll_.timeout_us, [this] { on_poll_timeout(); });
    if (!revision_) return connection_->write(complete_list_request(host_));
    // The time spent connecting is subtracted from the hold,
    // because their sum bounds how late a change is received.
    const Micros elapsed = deadlines_.now() - poll_started_at_;
    const Micros hold = std::max(kMinHoldUs, current_poll_.hold_us - elapsed);
    connection_->write(changes_request(host_, *revision_, hold));
}

void DiscoveryWatch::received() {
    if (!is_poll_pending()) return on_poll_failed("received bytes while no poll was pending");
    try {
        connection_->consume(response_.feed(connection_->peek()));
        if (response_.done()) on_response();
    } catch (const std::runtime_error& error) {
        on_poll_failed(error.what());
    }
}

void DiscoveryWatch::on_response() {
    const auto response = std::exchange(response_, http::ResponseParser());
    state_ = State::delivering_list;
    if (response.status() != kHttpOk)
        return on_poll_failed("status " + std::to_string(response.status()), PollFailure::rejected);
    auto list = parser_.parse(response.body(), revision_);
    timeouts_.on_list(is_long_poll());
    revision_ = list.revision;
    has_completed_poll_ = true;
    if (!response.keeps_open()) connection_.reset();
    listener_.on_endpoint_list(
        list.complete ? decision::EndpointListKind::complete : decision::EndpointListKind::changes,
        std::move(list.endpoints));
    poll();  // at once, because discovery cannot report a change between polls
}

void DiscoveryWatch::ended(net::ConnectionEnd how) {
    connection_.reset();
    if (!is_poll_pending()) return;
    const bool was_connected = state_ == State::awaiting_response;
    // Discovery may have closed an idle connection just before the request was sent on it. That is not a
    // failed poll; the request is sent again on a new connection.
    if (was_connected && connection_reused_ && response_.status() == 0) return poll();
    if (how == net::ConnectionEnd::end_of_input) response_.end_of_input();
    if (!response_.done())
        return on_poll_failed(was_connected ? "connection closed before the response was complete"
                                            : "cannot connect");
    try {
        on_response();
    } catch (const std::runtime_error& error) {
        on_poll_failed(error.what());
    }
}

// A long poll that times out may have missed a change, whose notification is late already. The next poll
// therefore starts at once instead of after the backoff of a failure. The proxies do not send these polls to
// discovery at the same time, because each uses a different hold time.
void DiscoveryWatch::on_poll_timeout() {
    if (!is_long_poll()) return on_poll_failed("no response before the time-out");
    log::line("discovery silent", "watch reopened");
    timeouts_.on_silence(true);
    drop_connection();
    poll();
}

void DiscoveryWatch::on_poll_failed(const std::string& reason, PollFailure failure) {
    log::line("discovery failed", reason);
    const bool rejected = failure == PollFailure::rejected;
    if (rejected)
        timeouts_.on_rejection(is_long_poll());
    else
        timeouts_.on_silence(is_long_poll());
    state_ = State::stopped;
    has_completed_poll_ = true;
    drop_connection();
    poll_timeout_.clear();
    listener_.on_poll_failed({rejected, deadlines_.now() - poll_started_at_});
}

void DiscoveryWatch::drop_connection() {
    response_ = http::ResponseParser();
    connection_.reset();
}

}  // namespace sloestack::discovery
