// Finds out whether a client that waits for a response has left. The end of its input does not tell: it may
// only have finished asking. A client that has left answers a byte with a reset, sooner or later, while one
// that still reads skips a notice; so a notice is written and the socket is checked from then on.
#pragma once

#include "deadlines/deadlines.h"
#include "transport/connection.h"

namespace sloestack::downstream {

// The session that a DisconnectDetector belongs to.
class DisconnectDetectorOwner {
public:
    // Whether the end of the client's input has been read.
    virtual bool input_has_ended() const = 0;
    // Whether input waits behind an open request and is not read, so that its end is not seen.
    virtual bool input_is_paused() const = 0;
    virtual bool waits_for_response() const = 0;
    // Whether a response is being written in pieces: nothing may stand between these, and a client that has
    // left is noticed as they are written.
    virtual bool is_streaming_response() const = 0;
    virtual void on_client_disconnected() = 0;

protected:
    ~DisconnectDetectorOwner() = default;
};

class DisconnectDetector {
public:
    // `connection` may be null where it could not be opened, and closed before this is destroyed; then
    // nothing but stop() may be called. All outlive their last use.
    DisconnectDetector(Deadlines& deadlines, DisconnectDetectorOwner& owner, net::Connection* connection)
        : deadlines_(deadlines), owner_(owner), connection_(connection) {}

    // The client's input has ended: checks the connection shortly, then at intervals while it matters.
    void input_ended();
    // The client's input is paused: checks the connection at intervals, unless it does already.
    void input_paused();
    // Checks at once; where the client has left, on_client_disconnected() is called with the next sweep.
    bool client_disconnected();
    void stop() { check_.clear(); }

private:
    void schedule_check(Micros delay);
    void check();

    Deadlines& deadlines_;
    DisconnectDetectorOwner& owner_;
    net::Connection* connection_;
    Deadline check_;
    bool notice_sent_ = false;
};

}  // namespace sloestack::downstream
