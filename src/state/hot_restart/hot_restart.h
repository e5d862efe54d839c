// Hot restart: an old and a new process of one proxy serve side by side until the old one
// has drained. The new process (the successor) connects to the Unix socket of the old one
// (the predecessor). The predecessor sends the exclusions in force, and each then sends
// the other later changes. While both run, each uses its share of the limits on sockets
// and memory. A process may have a predecessor and successors at the same time.
//
// The socket's path belongs to the newest process. A process whose successor has ended listens at the path
// again, or joins the process that listens there by now.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "deadlines/deadlines.h"
#include "hot_restart/acknowledgement_tracker.h"
#include "hot_restart/peer_connection.h"
#include "hot_restart/unix_socket.h"
#include "transport/connection.h"
#include "transport/listener.h"

namespace sloestack::hot_restart {

// Gives access to the state that is handed over and to the limits that are shared. Implemented by the server.
class HotRestartHandler {
public:
    // Returns the endpoints that operators have excluded, by their names in discovery.
    virtual const std::set<std::string>& excluded_endpoints() const = 0;
    // Called when another process has excluded or included
    // an endpoint. The change must be in force on return.
    virtual void on_exclusion_update(const std::string& endpoint, bool excluded) = 0;
    // Called when the number of processes that share the limits changes; `processes` includes this one.
    virtual void on_process_count(int processes) = 0;
    // Called for a session write that another process has acknowledged.
    virtual void on_session_write(const decision::SessionWrite& write) = 0;
    // Called when it changes whether all of them are reported. They are while no other process is connected.
    virtual void on_session_write_reports(bool are_complete) = 0;
    // Returns whether this process uses no more than its share of the limits.
    virtual bool is_within_share() const = 0;
    // Called for a CancelRequest that a client has sent to another process.
    virtual void on_cancel_request(const CancelRequest& request) = 0;
    // Returns the hashes of the ids of all requests that may be executing.
    virtual std::vector<std::uint64_t> request_ids() const = 0;
    // Called for the id of a request that may be executing at another process.
    virtual void on_request_id(std::uint64_t hash) = 0;
    // Called once, when the predecessor's state has been received or there is no predecessor to wait for. The
    // process may serve from then on.
    virtual void on_handover_complete() = 0;

protected:
    ~HotRestartHandler() = default;
};

class HotRestart final : private PeerEvents {
public:
    // `path` is that of the Unix socket, the same for all processes
    // of one proxy. All referenced objects must outlive this object.
    HotRestart(net::Loop& loop, Deadlines& deadlines, std::string path, HotRestartHandler& handler);
    ~HotRestart();

    // Connects to the predecessor. If there is no socket at the path, on_handover_complete is called before
    // this returns.
    void start();
    // Returns whether a successor has requested the handshake and is still connected.
    bool has_successor() const;
    // Sends the update to all other processes. Calls `done` once each of them has acknowledged it or has
    // disconnected, at the latest when the acknowledgement time-out expires.
    void send_exclusion_update(const std::string& endpoint, bool excluded, std::function<void()> done);
    // Reports a session write to all other processes. Must be called before the client is answered.
    void send_session_write(const decision::SessionWrite& write) { send_about_sessions(write); }
    // Passes a CancelRequest on to all other processes.
    void send_cancel_request(const CancelRequest& request) { send_about_sessions(request); }
    // Reports the id of a request that has been opened to all other processes.
    void send_request_id(std::uint64_t hash);
    // Handles the messages that have arrived by now. Must be called after clients' input has been read and
    // before it is acted on, so that a session's read finds the writes acknowledged before it was sent.
    void receive_now();
    // Must be called when the event loop has been delayed for so long that messages may be waiting in their
    // senders: session writes count as incomplete until all of them have arrived.
    void on_event_loop_delayed();

private:
    using Peers = AcknowledgementTracker::Peers;
    enum class State { awaiting_predecessor, serving };

    void on_message(PeerConnection& peer, const Message& message) override;
    void on_disconnected(PeerConnection& peer) override;
    void handle(PeerConnection& peer, const HandshakeRequest& request);
    void handle(PeerConnection& peer, const HandshakeComplete& complete);
    void handle(PeerConnection& peer, const ExclusionUpdate& update);
    void handle(PeerConnection& peer, const Acknowledgement& acknowledgement);
    void handle(PeerConnection& peer, const SessionWriteStatus& status);
    void handle(PeerConnection& peer, const SessionWriteStatusRequest& request);
    void handle(PeerConnection& peer, const decision::SessionWrite& write);
    void handle(PeerConnection& peer, const CancelRequest& request);
    void handle(PeerConnection& peer, const RequestIdReport& report);

    void connect_to_predecessor(Time started_at);
    void request_handover(std::unique_ptr<PeerConnection> predecessor);
    void start_serving();
    void listen();
    // Makes sure that the next process finds this one, or one that this one is connected to.
    void check_path();
    void check_path_later();
    void accept_later();
    void join_newer_process(evutil_socket_t fd);
    void send_exclusions(PeerConnection& peer);
    void send_request_ids(PeerConnection& peer);
    // Takes ownership of `fd`. Returns null if no connection could be created for it.
    std::unique_ptr<PeerConnection> open_peer(evutil_socket_t fd, PeerConnection::Role role);
    void on_accepted(evutil_socket_t fd);
    void complete_handshake_within_share(PeerConnection& successor);
    Peers broadcast(const ExclusionUpdate& update, const PeerConnection* except);
    // Sends the message to all peers that understand messages about sessions.
    void send_about_sessions(const Message& message);
    void report_process_count();
    std::ptrdiff_t joined_count() const;
    // Tells the peers, and the handler, if it has changed whether session writes are reported completely.
    void update_session_write_reports();

    net::Loop& loop_;
    Deadlines& deadlines_;
    std::string path_;
    HotRestartHandler& handler_;
    std::vector<std::unique_ptr<PeerConnection>> peers_;
    AcknowledgementTracker acknowledgements_;
    std::uint64_t last_sequence_ = 0;
    State state_ = State::awaiting_predecessor;
    bool reports_are_complete_ = true;
    Deadline connect_retry_;
    Deadline handshake_timeout_;
    Deadline path_check_;
    Deadline resume_accepting_;
    std::string listen_error_;  // of the last call of listen(); empty if it succeeded
    std::unique_ptr<net::Listener> listener_;
    FileId listener_file_;
};

}  // namespace sloestack::hot_restart
