// The connection to the predecessor or to a successor: splits the input into lines, decodes messages and
// keeps the state of the handshake.
#pragma once

#include <memory>
#include <optional>

#include "deadlines/deadlines.h"
#include "hot_restart/hot_restart_codec.h"
#include "transport/connection.h"

namespace sloestack::hot_restart {

class PeerConnection;

// Callbacks of a connection. Implemented by the owner of the connections.
class PeerEvents {
public:
    virtual void on_message(PeerConnection& peer, const Message& message) = 0;
    // The connection has ended, or the peer has sent a line
    // that is not a message of the protocol or is too long.
    virtual void on_disconnected(PeerConnection& peer) = 0;

protected:
    ~PeerEvents() = default;
};

class PeerConnection final : public net::ConnectionEvents {
public:
    enum class Role { predecessor, successor };

    // Takes ownership of `fd`. `events` must outlive the connection. A predecessor has joined from the start.
    PeerConnection(net::Loop& loop, evutil_socket_t fd, Role role, PeerEvents& events);

    // Returns whether a connection could be created for the socket. If not, the object can only be destroyed.
    bool is_open() const { return connection_ != nullptr; }
    Role role() const { return role_; }
    void set_role(Role role) { role_ = role; }
    // Returns whether the peer shares this process's limits and receives updates: a predecessor always, a
    // successor from the handshake on. Until then the peer may be any process that has connected.
    bool is_joined() const { return state_ == State::joined; }
    // Returns the time when a successor joined.
    Time joined_at() const { return joined_at_; }
    // The timer for the next check whether a successor's handshake can be completed.
    Deadline& handshake_retry() { return handshake_retry_; }

    // Returns whether the peer understands the messages about sessions.
    bool knows_session_messages() const { return knows_session_messages_; }
    void set_knows_session_messages() { knows_session_messages_ = true; }
    // Returns whether the peer understands reports of request ids.
    bool knows_request_ids() const { return knows_request_ids_; }
    void set_knows_request_ids() { knows_request_ids_ = true; }
    // Returns whether the peer reports all session writes: its last SessionWriteStatus.
    bool reports_session_writes() const { return reports_session_writes_; }
    void set_reports_session_writes(bool reports) { reports_session_writes_ = reports; }
    // The status that was last sent to the peer; std::nullopt if none was.
    std::optional<bool>& sent_status() { return sent_status_; }

    // Hands the message to the kernel at once, unless the peer has not read a lot of earlier ones.
    void send(const Message& message);
    // Handles the messages that have arrived in the kernel by now, without waiting for the event loop.
    void receive_now();
    void join(Time now);
    // Stops reading. The owner destroys the connection when none of its functions is on the call stack.
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
    bool knows_session_messages_ = false;
    bool knows_request_ids_ = false;
    bool reports_session_writes_ = false;
    std::optional<bool> sent_status_;
    std::unique_ptr<net::Connection> connection_;
};

}  // namespace sloestack::hot_restart
