// The time limits of a client's session. One deadline holds at a time, by what the session waits for.
#pragma once

#include <cstdint>
#include <functional>

#include "deadlines/deadlines.h"

namespace sloestack::downstream {

// What the session is doing, as far as its limits depend on it.
struct SessionActivity {
    bool is_started = false;           // its start-up packet has been read
    bool has_sent_query = false;       // since it connected
    bool waits_for_proxy = false;      // for a response, or for memory
    bool has_partial_message = false;  // of any size
    bool in_large_statement = false;   // part of a large statement has been read
    std::size_t unwritten_bytes = 0;   // that the client has not taken
    std::uint64_t sent_bytes = 0;      // that it has taken, in all
    Time last_read_at = 0;
    Time last_response_at = 0;
};

class SessionTimeouts {
public:
    // `deadlines` outlives this. `on_expired` is called once the limit last computed by renew() has passed.
    SessionTimeouts(Deadlines& deadlines, Time connected_at, std::function<void()> on_expired)
        : deadlines_(deadlines), connected_at_(connected_at), on_expired_(std::move(on_expired)) {}

    Time connected_at() const { return connected_at_; }
    // A whole message has been read: the next one has its full time.
    void message_read() { message_begun_at_ = 0; }
    // Sets the limit for what the session is doing now. While bytes wait for the client, only progress
    // renews the limit: a client may not keep its session by asking on and taking nothing.
    void renew(const SessionActivity& activity);
    // Whether the client has taken nothing since the limit for that was set.
    bool write_has_stalled(std::uint64_t sent_bytes) const { return sent_bytes == sent_bytes_when_set_; }

    // Replaces the limit: `on_stalled` is called once the client has had the time to take more.
    void await_write_progress(std::uint64_t sent_bytes, std::function<void()> on_stalled);
    // Replaces the limit by a lingering close of limited length, at most until `latest`.
    void await_close(Time latest, std::function<void()> on_expired);
    // Calls with the next sweep.
    void call_soon(std::function<void()> callback);
    void clear() { limit_.clear(); }

private:
    Time waiting_limit(const SessionActivity& activity) const;

    Deadlines& deadlines_;
    Time connected_at_;
    std::function<void()> on_expired_;
    Deadline limit_;
    Time message_begun_at_ = 0;  // when the first byte was seen of a message that is not whole; 0 where none
    std::uint64_t sent_bytes_when_set_ = 0;
};

}  // namespace sloestack::downstream
