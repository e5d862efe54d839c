// Hot restart: an old and a new process of one proxy serve side by side until the old one has drained. They
// find each other at a Unix socket; the old one (the predecessor) sends the new one (the successor) the
// exclusions in force, and both send each other later changes. While both live, each uses its share of the
// limits on sockets and memory. A process may have a predecessor and successors at once.
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
#include "transport/connection.h"

namespace sloestack::hot_restart {

// The state that is handed over and the limits that are shared; implemented by the server.
class HotRestartHandler {
public:
    // The endpoints that operators have excluded, by their names in discovery.
    virtual const std::set<std::string>& excluded_endpoints() const = 0;
    // The other process has excluded or included an endpoint; in force here on return.
    virtual void on_exclusion_update(const std::string& endpoint, bool excluded) = 0;
    // How many processes, this one included, share the limits from now on.
    virtual void on_process_count(int processes) = 0;
    // Whether this process holds no more than its share of the limits.
    virtual bool is_within_share() const = 0;
    // The predecessor's state has been received, or there is none to wait for: serve. Called once.
    virtual void on_handover_complete() = 0;

protected:
    ~HotRestartHandler() = default;
};

class HotRestart final : private PeerEvents {
public:
    // `path` is that of the Unix socket, the same for all processes of one proxy. All references outlive
    // this.
    HotRestart(net::Loop& loop, Deadlines& deadlines, std::string path, HotRestartHandler& handler);
    ~HotRestart();

    // Connects to the predecessor; where there is none handover is complete at once.
    void start();
    // Whether a new process has asked for the handshake and is still connected.
    bool has_successor() const;
    // Sends the update to all other processes. `done` is called once it is in force at all of them, or those
    // that do not answer are given up.
    void send_exclusion_update(const std::string& endpoint, bool excluded, std::function<void()> done);

private:
    using Peers = AcknowledgementTracker::Peers;
    enum class State { awaiting_predecessor, serving };

    void on_message(PeerConnection& peer, const Message& message) override;
    void on_disconnected(PeerConnection& peer) override;
    void handle(PeerConnection& peer, const HandshakeRequest& request);
    void handle(PeerConnection& peer, const HandshakeComplete& complete);
    void handle(PeerConnection& peer, const ExclusionUpdate& update);
    void handle(PeerConnection& peer, const Acknowledgement& acknowledgement);

    void start_serving();
    void listen();
    // Nothing where the socket cannot be taken over.
    std::unique_ptr<PeerConnection> open_peer(evutil_socket_t fd, PeerConnection::Role role);
    void on_accepted(evutil_socket_t fd);
    void complete_handshake_within_share(PeerConnection& successor);
    Peers broadcast(const ExclusionUpdate& update, const PeerConnection* except);
    void report_process_count();

    net::Loop& loop_;
    Deadlines& deadlines_;
    std::string path_;
    HotRestartHandler& handler_;
    std::vector<std::unique_ptr<PeerConnection>> peers_;
    AcknowledgementTracker acknowledgements_;
    std::uint64_t last_sequence_ = 0;
    State state_ = State::awaiting_predecessor;
    Deadline handshake_timeout_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace sloestack::hot_restart
