// When a router polls discovery for the endpoint list (PollBackoff), and how long a poll may take
// (PollTimeouts). Both adapt to the results of earlier polls, the only information that a router has about
// the load of discovery. Neither reads a clock; random draws are arguments.
//
// Discovery holds a long poll: without a change to report, it delays the response for the hold time that the
// poll requests.
//
// By the operators' rules a change counts as notified `kNotificationBoundUs` after discovery had it and was
// reachable, whether or not a poll has returned it by then. The time between a change and the list that
// contains it is therefore bounded. Its longest chains of waits are (checked by the static assertions in the
// implementation; docs/design/crossings.md has the table):
//
//   a long poll gets no response:           hold + slack, then a poll at once with the short time-out
//   a poll fails:                           the poll interval, then the poll time-out
//   both, if few routers share discovery:   hold + slack + short time-out + backoff + short time-out
//
// A poll waits longer than discovery may queue it (2 s at most, by the operators' settings). To abandon a
// poll earlier and poll again would waste the work that discovery has done for it, and with many routers
// would keep discovery's queue full.
//
// If endpoint lists are pushed, discovery is a local agent that no other router polls, and a change counts as
// notified as soon as the agent has it. The agent is polled at the start, and within 0.1 s after a failure.
#pragma once

#include <cstdint>

#include "sloestack/router.h"

namespace sloestack::decision {

class PollBackoff {
public:
    // Uses `router_count`, the number of routers that share discovery, and `discovery_agent_is_local`.
    explicit PollBackoff(const Settings& settings);

    // Returns the delay from the start to the first poll, at least 1 us. `draw` is uniform in [0, 1).
    Micros first_poll_delay(double draw) const;
    // Returns the delay from the end of a failed poll to the next poll, at least 1 us: exponential backoff
    // with full jitter, longer after a rejection, which shows that discovery is overloaded, and at least half
    // of the maximum if the rejected poll has waited in its queue. `draw` is uniform in [0, 1).
    Micros delay_after_failure(const FailedPoll& poll, double draw);
    // Resets the backoff to its first step.
    void on_list_received() { failures_ = 0; }

    static constexpr Micros kNotificationBoundUs = 6'000'000;  // required by the operators' rules
    static constexpr Micros kPollTimeoutUs = 2'300'000;        // discovery's queue, 2 s, plus the round trip
    static constexpr Micros kMaxPollIntervalUs = 3'500'000;    // from the start of a failed poll to the next
    static constexpr Micros kLocalAgentMaxBackoffUs = 100'000;

private:
    bool is_local_agent_;
    Micros first_poll_window_us_;
    Micros first_backoff_us_;  // maximum delay after the first poll without a response
    int failures_ = 0;         // consecutive
};

class PollTimeouts {
public:
    // `seed` differs from router to router and determines the hold time of the first long poll: with equal
    // hold times, polls that start together would stay synchronized. The hold time grows with the number of
    // routers, and further while long polls are rejected.
    PollTimeouts(const Settings& settings, std::uint64_t seed);

    // Times of the next poll, measured from its start, which includes connecting.
    struct NextPoll {
        Micros hold_us;     // how long discovery may hold it, in whole milliseconds; 0: not a long poll
        Micros timeout_us;  // when the router abandons it
    };
    NextPoll next() const;

    // Result of the last poll; `was_long_poll` if its `hold_us` was over 0.
    // `delay`: how long the response took beyond the hold time; negative if a change ended the hold.
    void on_list(bool was_long_poll, Micros delay = 0);
    void on_rejection(bool was_long_poll);  // a response other than a list
    void on_silence(bool was_long_poll);    // no response in time, or the connection broke
    // Whether other routers poll the same discovery, so that it may be overloaded.
    bool is_discovery_shared() const { return !is_local_agent_; }
    // Whether the last responses were late or rejections, so that polls wait in discovery's queue.
    bool is_discovery_congested() const { return hold_us_ > default_hold_us_; }
    // How long an open long poll is kept when discovery moves, before the first poll at the new address.
    Micros move_delay_us() const { return move_delay_us_; }
    // Discovery's address has changed: the next poll is not a long poll.
    void on_address_change() { last_result_ = LastResult::silence; }

    // Time for the response after the hold time: responses without changes are up to 0.3 s late.
    static constexpr Micros kHoldSlackUs = 600'000;
    static constexpr Micros kMaxHoldUs = 12'000'000;

private:
    // Long polls follow only a response of any kind: a long poll does not show before its end whether
    // discovery is reachable.
    enum class LastResult { silence, list, rejection };

    void extend_hold();

    LastResult last_result_ = LastResult::silence;
    bool is_local_agent_;
    Micros move_delay_us_;
    Micros default_hold_us_;
    Micros hold_us_;
    Micros short_timeout_us_;
    Micros timeout_us_;
    int short_timeout_polls_left_ = 0;  // polls with the short time-out after a long poll without a response
    int consecutive_long_poll_rejections_ = 0;
};

}  // namespace sloestack::decision
