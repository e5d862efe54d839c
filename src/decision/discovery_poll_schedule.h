// When a router polls discovery for the endpoint list, and how long a poll may take: the one schedule of all
// polls. Time is not looked at, and draws are passed in. `PollBackoff` says when to poll, `PollTimeouts` how
// long a poll may take; both go by what became of the polls before, which is all that a router knows of how
// many others poll and of what discovery can take.
//
// Discovery holds a poll back ("long poll") for the time that the poll asks for, while it has nothing new.
//
// Whatever happens to polls, a change counts as notified `kNotificationBoundUs` after discovery had it and
// could be reached. So the longest chain of waits between a change and the list that tells of it is bounded;
// the static assertions in the implementation spell the chains out (docs/design/crossings.md has the table):
//
//   a held poll fell silent as the change came:   hold + slack, then a poll at once with the short timeout
//   a poll failed as the change came:             the poll interval, then the poll timeout
//   both, where few routers share discovery:      hold + slack + short timeout + backoff + short timeout
//
// A poll that discovery has let in is waited for longer than discovery lets a poll wait in its own queue (2 s
// at most, by the operators' settings): to abandon it sooner and poll again wastes discovery's work, and many
// routers that do so keep its queue full for each other.
//
// Where lists are pushed, discovery is a local agent that no other router polls, and what it has counts as
// notified at once: it is polled at the start, and again within 0.1 s of a failure.
#pragma once

#include <cstdint>

#include "sloestack/router.h"

namespace sloestack::decision {

class PollBackoff {
public:
    // Of the settings: how many routers, over 0, share discovery, and whether it is a local agent.
    explicit PollBackoff(const Settings& settings);

    // From the start to the first poll, at least 1 us; `draw` lies in [0, 1).
    Micros first_poll_delay(double draw) const;
    // From a failed poll's end to the next poll, at least 1 us. Exponential backoff with full jitter, longer
    // after a rejection: discovery is there and has too much to do.
    Micros delay_after_failure(const FailedPoll& poll, double draw);
    // A list has come: the backoff starts again from its first step.
    void on_list_received() { failures_ = 0; }

    static constexpr Micros kNotificationBoundUs = 6'000'000;  // of the operators' rules
    static constexpr Micros kPollTimeoutUs = 2'300'000;  // discovery's queue, 2 s, and the way there and back
    static constexpr Micros kMaxPollIntervalUs =
        3'500'000;  // from the beginning of a failed poll to the next
    static constexpr Micros kLocalAgentMaxBackoffUs = 100'000;

private:
    bool is_local_agent_;
    Micros first_poll_window_us_;
    Micros first_backoff_us_;  // the longest delay after a poll that nobody answered
    int failures_ = 0;         // in a row
};

class PollTimeouts {
public:
    // `seed` tells this router from the others and draws how long its first long poll is held: polls that
    // begin together would end together ever after. Many routers poll less often each, and those whose long
    // polls are rejected again and again less often still.
    PollTimeouts(const Settings& settings, std::uint64_t seed);

    // The next poll, both times from its beginning, its connection included.
    struct NextPoll {
        Micros hold_us;     // discovery may hold it back so long, whole milliseconds; 0: it answers at once
        Micros timeout_us;  // it is abandoned then
    };
    NextPoll next() const;

    // What became of the last poll, which was held (`hold_us` over 0) or not.
    void on_list(bool was_held);
    void on_rejection(bool was_held);  // an answer that is no list
    void on_silence(bool was_held);    // no answer in time, or its connection broke
    // Discovery is at another address: nothing is known of that one.
    void on_address_change() { last_result_ = LastResult::silence; }

    static constexpr Micros kHoldSlackUs = 600'000;  // after a hold: empty answers come up to 0.3 s late
    static constexpr Micros kMaxHoldUs = 12'000'000;

private:
    // A poll is held only after an answer of whatever kind: a long poll shows nothing until its end.
    enum class LastResult { silence, list, rejection };

    LastResult last_result_ = LastResult::silence;
    Micros usual_hold_us_;
    Micros hold_us_;
    Micros short_timeout_us_;
    Micros timeout_us_;
    int short_polls_left_ = 0;  // after a silence, polls with the short timeout
    int held_rejections_ = 0;   // long polls rejected in a row
};

}  // namespace sloestack::decision
