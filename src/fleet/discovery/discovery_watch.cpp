#include "discovery/discovery_watch.h"

#include <algorithm>
#include <utility>

#include "discovery/poll_request.h"
#include "log/log.h"

namespace sloestack::discovery {
namespace {

constexpr Micros kMinHoldUs = 1'000;  // a request without a hold is answered at once, with or without changes
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
                      [this] { on_poll_failed("cannot connect in time"); });
    connection_ = net::Connection::open(loop_, address_, kMaxUnreadBytes, *this);
    if (!connection_) on_poll_failed("no socket");
}

void DiscoveryWatch::connected() { send_request(); }

void DiscoveryWatch::send_request() {
    state_ = State::awaiting_response;
    poll_timeout_.set(deadlines_, poll_started_at_ + current_poll_.timeout_us, [this] { on_poll_timeout(); });
    if (!revision_) return connection_->write(complete_list_request(host_));
    // The time to connect is part of the hold: their sum bounds how late a change is known.
    const Micros elapsed = deadlines_.now() - poll_started_at_;
    const Micros hold = std::max(kMinHoldUs, current_poll_.hold_us - elapsed);
    connection_->write(changes_request(host_, *revision_, hold));
}

void DiscoveryWatch::received() {
    if (!is_poll_pending()) return on_poll_failed("an answer to no call");
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
    timeouts_.on_list(is_held());
    revision_ = list.revision;
    has_completed_poll_ = true;
    if (!response.keeps_open()) connection_.reset();
    listener_.on_endpoint_list(
        list.complete ? decision::EndpointListKind::complete : decision::EndpointListKind::changes,
        std::move(list.endpoints));
    poll();  // at once: no change is notified between polls
}

void DiscoveryWatch::ended(net::ConnectionEnd how) {
    connection_.reset();
    if (!is_poll_pending()) return;
    const bool was_connected = state_ == State::awaiting_response;
    // A reused connection may have been closed by discovery as the request crossed: not a failed poll.
    if (was_connected && connection_reused_ && response_.status() == 0) return poll();
    if (how == net::ConnectionEnd::end_of_input) response_.end_of_input();
    if (!response_.done()) return on_poll_failed(was_connected ? "the connection broke" : "cannot connect");
    try {
        on_response();
    } catch (const std::runtime_error& error) {
        on_poll_failed(error.what());
    }
}

// A held poll that is not answered may have missed a change, whose notification is already late: the next one
// begins at once rather than after the backoff of a failure. This adds no load in step with other proxies,
// since each holds its polls for a time of its own.
void DiscoveryWatch::on_poll_timeout() {
    if (!is_held()) return on_poll_failed("no answer in time");
    log::line("discovery silent", "watch reopened");
    timeouts_.on_silence(true);
    drop_connection();
    poll();
}

void DiscoveryWatch::on_poll_failed(const std::string& reason, PollFailure failure) {
    log::line("discovery failed", reason);
    const bool rejected = failure == PollFailure::rejected;
    if (rejected)
        timeouts_.on_rejection(is_held());
    else
        timeouts_.on_silence(is_held());
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
