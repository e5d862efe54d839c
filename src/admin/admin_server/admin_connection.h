// One connection to the admin server: reads one HTTP/1.1 request, sends one response, and ends.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "deadlines/deadlines.h"
#include "http/request.h"
#include "transport/connection.h"

namespace sloestack::admin {

using ConnectionId = std::uint64_t;  // never used again for another connection

struct Response {
    int status = 200;
    std::string body;                      // JSON
    const char* allowed_method = nullptr;  // the Allow header; null for none
};

// Callbacks of a connection. Implemented by the owner of the connections.
class AdminConnectionEvents {
public:
    // A complete request has been read. The response may be given during this call or later. Throws
    // http::RequestError if the request is malformed.
    virtual void on_request(ConnectionId id, const http::RequestParser& request) = 0;
    // The connection is done: the owner destroys it when none of its functions is on the call stack.
    virtual void on_finished(ConnectionId id) = 0;

protected:
    ~AdminConnectionEvents() = default;
};

class AdminConnection final : public net::ConnectionEvents {
public:
    // Takes ownership of `fd`. All referenced objects must outlive the connection.
    AdminConnection(net::Loop& loop, Deadlines& deadlines, evutil_socket_t fd, ConnectionId id,
                    AdminConnectionEvents& events);

    // Returns whether a connection could be created for the socket. If not, the object can only be destroyed.
    bool is_open() const { return connection_ != nullptr; }
    // Sends the response; does nothing if one has been sent.
    void respond(const Response& response);

    void received() override;
    void drained() override;
    void ended(net::ConnectionEnd how) override;

private:
    enum class State { reading_request, awaiting_response, responded };

    void read_request();
    void on_timeout();
    void finish() { events_.on_finished(id_); }

    Deadlines& deadlines_;
    ConnectionId id_;
    AdminConnectionEvents& events_;
    http::RequestParser request_;
    State state_ = State::reading_request;
    bool input_ended_ = false;
    Deadline timeout_;
    std::unique_ptr<net::Connection> connection_;
};

}  // namespace sloestack::admin
