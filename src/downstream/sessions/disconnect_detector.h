// Detects whether a client that waits for a response has disconnected. A FIN does not show that: the client
// may have half-closed the connection after its last query and still be reading. So a NoticeResponse is
// written after a FIN, as a probe: the host of a client that still reads acknowledges it, and the client
// ignores it, while the host of one that has closed responds with a RST. The socket is checked at intervals.
#pragma once

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
    // next Deadlines::run_due(). After a FIN the client counts as connected only if it has acknowledged a
    // recent probe; without one, sends a probe.
    traffic::ClientPresence client_presence();
    void stop() { check_.clear(); }

private:
    bool has_fin() const;
    // Does nothing while a response is being streamed.
    void send_probe();
    bool probe_is_acknowledged() const;
    void schedule_check(Micros delay);
    void check();

    Deadlines& deadlines_;
    DisconnectDetectorOwner& owner_;
    net::Connection* connection_;
    Deadline check_;
    bool probe_is_outstanding_ = false;
    Time probe_sent_at_ = 0;               // of the last probe; 0 if none was sent
    std::optional<Time> last_present_at_;  // when the last acknowledged probe was sent
};

}  // namespace sloestack::downstream
