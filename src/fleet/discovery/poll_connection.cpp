#include "discovery/poll_connection.h"

#include <stdexcept>
#include <utility>

namespace sloestack::discovery {
namespace {

constexpr std::size_t kMaxUnreadBytes = std::size_t{256} * 1024;

}  // namespace

bool PollConnection::open(net::Loop& loop, const sockaddr_in& address) {
    connection_ = net::Connection::open(loop, address, kMaxUnreadBytes, *this);
    return connection_ != nullptr;
}

void PollConnection::send(const std::string& request) {
    is_reused_ = state_ == State::idle;
    state_ = State::awaiting_response;
    connection_->write(request);
}

void PollConnection::connected() { events_.on_poll_connected(*this); }

void PollConnection::received() {
    if (state_ != State::awaiting_response)
        return break_off(PollFailure::no_response, "received bytes while no poll was pending");
    try {
        connection_->consume(response_.feed(connection_->peek()));
    } catch (const std::runtime_error& error) {
        return break_off(PollFailure::no_response, error.what());
    }
    if (response_.done()) deliver_response();
}

void PollConnection::ended(net::ConnectionEnd how) {
    const auto state = std::exchange(state_, State::idle);
    close();
    if (state == State::idle) return;
    if (state == State::connecting)
        return events_.on_poll_broken(*this, PollFailure::no_response, "cannot connect");
    if (how == net::ConnectionEnd::end_of_input) response_.end_of_input();
    if (response_.done()) return deliver_response();
    const bool has_begun = response_.status() != 0;
    const auto closed = is_reused_ ? PollFailure::stale_connection : PollFailure::rejected;
    events_.on_poll_broken(*this, has_begun ? PollFailure::no_response : closed,
                           "connection closed before the response was complete");
}

void PollConnection::deliver_response() {
    const auto response = std::exchange(response_, http::ResponseParser());
    state_ = State::idle;
    if (!response.keeps_open()) close();
    events_.on_poll_response(*this, response);
}

void PollConnection::break_off(PollFailure failure, const std::string& reason) {
    close();
    events_.on_poll_broken(*this, failure, reason);
}

}  // namespace sloestack::discovery
