#include "admin_server/admin_connection.h"

#include "admin_server/admin_json.h"

namespace sloestack::admin {
namespace {

constexpr std::size_t kMaxUnreadBytes = std::size_t{16} * 1024;
// Time-out from accepting to closing a connection. Shorter than the 1 s that clients of the admin interface
// wait for a response.
constexpr Micros kConnectionTimeoutUs = 900'000;

const char* reason_phrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        default:
            return "Service Unavailable";
    }
}

std::string encode(const Response& response) {
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " " + reason_phrase(response.status);
    head += "\r\nContent-Type: application/json";
    head += "\r\nContent-Length: " + std::to_string(response.body.size());
    head += "\r\nConnection: close\r\n";
    if (response.allowed_method) head += std::string("Allow: ") + response.allowed_method + "\r\n";
    return head + "\r\n" + response.body;
}

}  // namespace

AdminConnection::AdminConnection(net::Loop& loop, Deadlines& deadlines, evutil_socket_t fd, ConnectionId id,
                                 AdminConnectionEvents& events)
    : deadlines_(deadlines), id_(id), events_(events) {
    connection_ = net::Connection::from_socket(loop, fd, kMaxUnreadBytes, *this);
    timeout_.set(deadlines_, deadlines_.now() + kConnectionTimeoutUs, [this] { on_timeout(); });
}

void AdminConnection::respond(const Response& response) {
    if (state_ == State::responded) return;
    state_ = State::responded;
    connection_->write(encode(response));
}

void AdminConnection::received() {
    if (state_ == State::reading_request) return read_request();
    connection_->consume(connection_->unread_bytes());
}

void AdminConnection::read_request() {
    try {
        request_.feed(connection_->peek());
        connection_->consume(connection_->unread_bytes());
        if (!request_.done()) return;
        state_ = State::awaiting_response;
        events_.on_request(id_, request_);
    } catch (const http::RequestError& error) {
        respond({400, error_json(error.what())});
        connection_->consume(connection_->unread_bytes());
    }
}

// Closes only the sending direction and waits for the client to close its own: closing a socket with unread
// input resets the connection, which could discard the response.
void AdminConnection::drained() {
    if (state_ != State::responded) return;
    if (input_ended_) return finish();
    connection_->shutdown_write();
}

void AdminConnection::ended(net::ConnectionEnd how) {
    input_ended_ = true;
    const bool is_response_sent = state_ == State::responded && connection_->unwritten_bytes() == 0;
    if (how == net::ConnectionEnd::error || !request_.done() || is_response_sent) finish();
}

void AdminConnection::on_timeout() {
    if (state_ == State::responded) return finish();
    respond({408, error_json("the request was not completed in time")});
    timeout_.set(deadlines_, deadlines_.now() + kConnectionTimeoutUs, [this] { finish(); });
}

}  // namespace sloestack::admin
