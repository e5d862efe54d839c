// This process's end of the socket to its predecessor or to a successor: frames lines, decodes messages and
// holds how far the handshake has come.
#pragma once

#include <memory>

#include "deadlines/deadlines.h"
#include "hot_restart/hot_restart_codec.h"
#include "transport/connection.h"

namespace sloestack::hot_restart {

class PeerConnection;

// Callbacks of a connection, implemented by the owner of the connections.
class PeerEvents {
public:
    virtual void on_message(PeerConnection& peer, const Message& message) = 0;
    // The connection has ended, or the peer has sent what is no message of the protocol.
    virtual void on_disconnected(PeerConnection& peer) = 0;

protected:
    ~PeerEvents() = default;
};

class PeerConnection final : public net::ConnectionEvents {
public:
    enum class Role { predecessor, successor };

    // Takes over the socket. `events` outlives the connection.
    PeerConnection(net::Loop& loop, evutil_socket_t fd, Role role, PeerEvents& events);

    // False where the socket could not be taken over.
    bool is_open() const { return connection_ != nullptr; }
    Role role() const { return role_; }
    // Whether the peer shares this process's limits and is sent updates. A successor does so from its
    // handshake request on: until then it may be any process that has connected.
    bool is_joined() const { return state_ == State::joined; }
    // When a successor asked for the handshake last.
    Time joined_at() const { return joined_at_; }
    // When to look again whether a successor's handshake can be completed.
    Deadline& handshake_retry() { return handshake_retry_; }

    void send(const Message& message);
    void on_handshake_request(Time now);
    // No more is read; the owner destroys the connection when it is off the call stack.
    void close();

    void received() override;
    void ended(net::ConnectionEnd how) override;

private:
    enum class State { connected, joined, closed };

    PeerEvents& events_;
    Role role_;
    State state_;
    Time joined_at_ = 0;
    Deadline handshake_retry_;
    std::unique_ptr<net::Connection> connection_;
};

}  // namespace sloestack::hot_restart
