// One connection to the admin server: reads one HTTP/1.1 request, is given the response, and ends.
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
    const char* allowed_method = nullptr;  // for the Allow header, where there is one
};

// Callbacks of a connection, implemented by the owner of the connections.
class AdminConnectionEvents {
public:
    // The request is whole. It may be responded to later. Throws http::RequestError where it cannot be used.
    virtual void on_request(ConnectionId id, const http::RequestParser& request) = 0;
    // Nothing more comes or goes: the owner destroys the connection when it is off the call stack.
    virtual void on_finished(ConnectionId id) = 0;

protected:
    ~AdminConnectionEvents() = default;
};

class AdminConnection final : public net::ConnectionEvents {
public:
    // Takes over the socket. The references outlive this.
    AdminConnection(net::Loop& loop, Deadlines& deadlines, evutil_socket_t fd, ConnectionId id,
                    AdminConnectionEvents& events);

    // False where the socket could not be taken over.
    bool is_open() const { return connection_ != nullptr; }
    // Only the first response is sent.
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
