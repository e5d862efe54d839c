// Detects whether a client that waits for a response has disconnected. A FIN does not show that: the client
// may have half-closed the connection after its last query and still be reading. Nor does the absence of a
// FIN while unread input fills the receive buffer, because a FIN cannot arrive behind it. In both cases
// output serves as a probe: the host of a client that is still connected acknowledges it, while the host of
// one that has closed responds with a RST. If there is no output, a NoticeResponse is written, which clients
// ignore. The socket is checked at intervals.
#pragma once

#include <cstdint>
#include <optional>

#include "deadlines/deadlines.h"
#include "traffic/response.h"
#include "transport/connection.h"

namespace sloestack::downstream {

// The session that a DisconnectDetector belongs to.
class DisconnectDetectorOwner {
public:
    // Whether the client's FIN has been read.
    virtual bool input_has_ended() const = 0;
    // Whether reading is paused because too much input is buffered after an open request, so that a FIN
    // after that input would not be read.
    virtual bool input_is_paused() const = 0;
    virtual bool waits_for_response() const = 0;
    // Whether a response is being streamed: a notice must not be written between its parts, and writing these
    // detects a disconnect anyway.
    virtual bool is_streaming_response() const = 0;
    virtual void on_client_disconnected() = 0;

protected:
    ~DisconnectDetectorOwner() = default;
};

class DisconnectDetector {
public:
    // `connection` is null if it could not be opened. Without a connection, or once it is closed, only stop()
    // may be called. `deadlines` and `owner` outlive the detector.
    DisconnectDetector(Deadlines& deadlines, DisconnectDetectorOwner& owner, net::Connection* connection)
        : deadlines_(deadlines), owner_(owner), connection_(connection) {}

    // The client's FIN has been read: checks the connection after a short delay, then at intervals while a
    // response is outstanding.
    void on_input_ended();
    // Reading is paused: checks the connection at intervals, unless that is scheduled already.
    void on_input_paused();
    // Checks the connection now. If the client has disconnected, has on_client_disconnected() called by the
    // next Deadlines::run_due(). After a FIN, or behind input that may hide one, the client counts as
    // connected only if it has acknowledged a recent probe; without one, sends a probe.
    traffic::ClientPresence client_presence();
    void stop() { check_.clear(); }

private:
    // Output that a client acknowledges only if it was connected at `sent_at` or later.
    struct Probe {
        std::uint64_t position;  // the output begins after this many bytes
        Time sent_at;
    };

    bool may_have_disconnected() const;
    void send_probe();
    void check_probe();
    void schedule_check(Micros delay);
    void check();

    Deadlines& deadlines_;
    DisconnectDetectorOwner& owner_;
    net::Connection* connection_;
    Deadline check_;
    std::optional<Probe> probe_;  // the outstanding one
    bool has_sent_probe_ = false;
    std::optional<Time> last_present_at_;  // when the last acknowledged probe was sent
};

}  // namespace sloestack::downstream
