#include "hot_restart/peer_connection.h"

#include <string>

namespace sloestack::hot_restart {
namespace {

constexpr std::size_t kMaxUnreadBytes = std::size_t{1024} * 1024;

}  // namespace

PeerConnection::PeerConnection(net::Loop& loop, evutil_socket_t fd, Role role, PeerEvents& events)
    : events_(events), role_(role), state_(role == Role::predecessor ? State::joined : State::connected) {
    connection_ = net::Connection::from_socket(loop, fd, kMaxUnreadBytes, *this);
}

void PeerConnection::send(const Message& message) { connection_->write_now(encode(message)); }

void PeerConnection::receive_now() {
    if (state_ != State::closed) connection_->receive_now();
}

void PeerConnection::join(Time now) {
    if (state_ == State::connected) state_ = State::joined;
    joined_at_ = now;
}

void PeerConnection::close() {
    state_ = State::closed;
    handshake_retry_.clear();
}

void PeerConnection::received() {
    do {
        const auto bytes = connection_->peek();
        const auto line_end = bytes.find('\n');
        if (line_end == std::string_view::npos) {
            if (bytes.size() > kMaxLineBytes) events_.on_disconnected(*this);
            return;
        }
        const std::string line(bytes.substr(0, line_end));
        connection_->consume(line_end + 1);
        if (const auto message = decode(line))
            events_.on_message(*this, *message);
        else
            events_.on_disconnected(*this);
    } while (state_ != State::closed);
}

void PeerConnection::ended(net::ConnectionEnd) { events_.on_disconnected(*this); }

}  // namespace sloestack::hot_restart
