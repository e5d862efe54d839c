// The time-outs of a client session. One deadline is set at a time, depending on what the session waits for.
#pragma once

#include <cstdint>
#include <functional>

#include "deadlines/deadlines.h"

namespace sloestack::downstream {

// The state of a session that its time-outs depend on.
struct SessionActivity {
    bool is_started = false;           // its start-up packet has been read
    bool has_sent_query = false;       // since the client connected
    bool waits_for_proxy = false;      // for a response, or for memory
    bool has_partial_message = false;  // a part of a message of any size has arrived
    bool in_large_statement = false;   // a part of a statement has been read that may take long to arrive
    std::size_t unwritten_bytes = 0;   // written bytes that the kernel has not taken
    std::uint64_t sent_bytes = 0;      // bytes that the kernel has taken since the client connected
    Time last_read_at = 0;
    Time last_response_at = 0;
};

class SessionTimeouts {
public:
    // `deadlines` outlives this. `on_expired` is called when the deadline last set by renew() has passed.
    SessionTimeouts(Deadlines& deadlines, Time connected_at, std::function<void()> on_expired)
        : deadlines_(deadlines), connected_at_(connected_at), on_expired_(std::move(on_expired)) {}

    Time connected_at() const { return connected_at_; }
    // Must be called when a whole message has been read: the next one gets the full time.
    void on_message_read() { message_started_at_ = 0; }
    // Sets the deadline for the session's current state. While written bytes wait for the client, only write
    // progress renews the deadline: a client must not keep its session open by sending more queries without
    // reading responses.
    void renew(const SessionActivity& activity);
    // Returns true if no byte has been sent since the deadline for write progress was set.
    bool write_has_stalled(std::uint64_t sent_bytes) const { return sent_bytes == sent_bytes_when_set_; }

    // Replaces the deadline: `on_stalled` is called after the write-stall time-out. `sent_bytes` is the
    // progress so far.
    void await_write_progress(std::uint64_t sent_bytes, std::function<void()> on_stalled);
    // Replaces the deadline: `on_expired` is called after the lingering time-out, and no later than `latest`.
    void await_close(Time latest, std::function<void()> on_expired);
    // Replaces the deadline: `callback` is called by the next Deadlines::run_due().
    void call_soon(std::function<void()> callback);
    void clear() { limit_.clear(); }

private:
    Time waiting_limit(const SessionActivity& activity) const;

    Deadlines& deadlines_;
    Time connected_at_;
    std::function<void()> on_expired_;
    Deadline limit_;
    Time message_started_at_ = 0;  // arrival of the first byte of an incomplete message; 0 if there is none
    std::uint64_t sent_bytes_when_set_ = 0;
};

}  // namespace sloestack::downstream
