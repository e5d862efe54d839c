// A connection to discovery that carries one poll at a time: an HTTP request and its response.
#pragma once

#include <memory>
#include <string>

#include "http/response.h"
#include "transport/connection.h"

namespace sloestack::discovery {

class PollConnection;

enum class PollFailure {
    no_response,  // no complete response with a valid list
    rejected,     // discovery is reachable, and overloaded: an HTTP status other than 200, or it has closed
                  // the connection without a byte of the response
    stale_connection,  // the same on a connection kept from the last poll, which discovery may have closed
                       // before it saw the request
};

// Callbacks of a connection. Each may hand the connection to net::Loop::delete_later, but not destroy it.
class PollConnectionEvents {
public:
    virtual void on_poll_connected(PollConnection& connection) = 0;
    virtual void on_poll_response(PollConnection& connection, const http::ResponseParser& response) = 0;
    // No response can come any more. The connection is closed.
    virtual void on_poll_broken(PollConnection& connection, PollFailure failure,
                                const std::string& reason) = 0;

protected:
    ~PollConnectionEvents() = default;
};

class PollConnection final : public net::ConnectionEvents {
public:
    explicit PollConnection(PollConnectionEvents& events) : events_(events) {}

    // Begins to connect; on_poll_connected follows. Returns false if that failed at once.
    bool open(net::Loop& loop, const sockaddr_in& address);
    void send(const std::string& request);
    void close() { connection_.reset(); }

    bool is_connecting() const { return state_ == State::connecting; }
    // Whether another poll may follow the last one.
    bool can_be_reused() const { return state_ == State::idle && connection_ != nullptr; }

    void connected() override;
    void received() override;
    void ended(net::ConnectionEnd how) override;

private:
    enum class State { connecting, idle, awaiting_response };

    void deliver_response();
    void break_off(PollFailure failure, const std::string& reason);

    PollConnectionEvents& events_;
    std::unique_ptr<net::Connection> connection_;
    State state_ = State::connecting;
    bool is_reused_ = false;  // whether the current poll is not the first one
    http::ResponseParser response_;
};

}  // namespace sloestack::discovery
