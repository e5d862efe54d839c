// Counters about client connections and the event loop, which explain what happened to requests that were
// never forwarded. Logged next to the metrics of requests.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "sloestack/router.h"

namespace sloestack::metrics {

// Why a client session ended; the first cause counts.
enum class SessionEnd {
    client_closed,       // the client sent Terminate or a FIN
    client_reset,        // the connection broke, or a write drew a reset
    cancel_request,      // the connection carried a CancelRequest
    idle,                // idle for too long after a query
    no_query,            // no query within the first-query time-out
    message_timeout,     // the rest of a message did not arrive in time
    displaced,           // closed in favour of a new client
    overloaded,          // its request was rejected because all descriptors are in use
    protocol_violation,  // also exceeded limits of buffered input
    response_cut,        // a response could not be completed
    write_stalled,       // the client did not read its responses
    stopping,            // the proxy stops
};
constexpr std::size_t kSessionEndCount = static_cast<std::size_t>(SessionEnd::stopping) + 1;

class SessionMetrics {
public:
    void count_accepted() { increment(accepted_); }
    void count_end(SessionEnd end) { increment(ends_[static_cast<std::size_t>(end)]); }
    // Accepting was paused for `duration` because no descriptor was free or accept() failed.
    void count_accept_pause(decision::Micros duration);
    // A request was dropped before an attempt began because its client had disconnected.
    void count_dropped_request() { increment(dropped_requests_); }
    // A request had waited for `age` in the kernel when it was read.
    void count_request_read(decision::Micros age);
    // A large statement was discarded because there was no memory for it in time.
    void count_memory_rejection() { increment(memory_rejections_); }
    // The event loop returned from its wait `delay` later than it was due.
    void count_late_iteration(decision::Micros delay);

    // Returns the sum of all counters, which changes whenever a counter does.
    std::uint64_t total() const { return total_; }
    std::string to_json() const;

private:
    void increment(std::uint64_t& counter);

    std::uint64_t total_ = 0;
    std::uint64_t accepted_ = 0;
    std::uint64_t accept_pauses_ = 0;
    std::uint64_t dropped_requests_ = 0;
    std::uint64_t delayed_requests_ = 0;
    std::uint64_t memory_rejections_ = 0;
    std::uint64_t late_iterations_ = 0;
    decision::Micros accept_paused_us_ = 0;
    decision::Micros max_request_age_us_ = 0;
    decision::Micros max_iteration_delay_us_ = 0;
    std::array<std::uint64_t, kSessionEndCount> ends_ = {};
};

}  // namespace sloestack::metrics
