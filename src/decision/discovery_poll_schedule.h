// When a router calls discovery for the list, and how long it waits for what: the one schedule of all calls.
// Pure: time is not looked at, and draws are passed in. `PollBackoff` says when to call, `CallTimes` how long
// a call may take; both go by what discovery has made of the calls before, which is all that a router knows
// of how many others call and of what discovery bears.
//
// Whatever happens to calls, a change counts as told `kToldBy` after discovery had it and could be reached.
// So the longest chain of waits between a change and the list that tells of it is bounded, constant by
// constant (docs/design/crossings.md has the table):
//
//   a held call fell silent as the change came:  hold + kLate, then a call at once:  kShortPatience
//   a call failed as the change came:            kBetween from its beginning to the next one's, then
//   kPatience both, where few routers share discovery:     hold + kLate + kShortPatience + back-off +
//   kShortPatience
//
// A call that discovery has let in is waited for longer than discovery itself lets one wait (2 s at most, by
// the operators' settings): to give it up sooner and call again is work for nothing at discovery, and many
// who do so keep its queue full for each other.
//
// Where lists are pushed, discovery is an agent of this router's own that nobody else calls, and what it has
// counts as told at once: it is called at the start, and again a tenth of a second after a failure at the
// latest.
#pragma once

#include <cstdint>

#include "sloestack/router.h"

namespace sloestack::decision {

class PollBackoff {
public:
    // Of the settings: how many routers, over 0, share discovery, and whether discovery is an agent of its
    // own.
    explicit PollBackoff(const Settings& settings);

    // From the start to the first call, us, at least 1; `draw` lies in [0, 1).
    Micros first_poll_delay(double draw) const;
    // A call has failed: from now to the next, us, at least 1. Exponential back-off with full jitter, longer
    // behind a refusal: discovery is there and has too much to do.
    Micros delay_after_failure(const FailedPoll& call, double draw);
    // A list has been told: the next failure is the first again.
    void on_list_received() { failures_ = 0; }

    static constexpr Micros kNotificationBound = 6'000'000;  // us; the operators' term
    static constexpr Micros kPollTimeout =
        2'300'000;  // us; discovery lets a call wait 2 s at most, and the way
    static constexpr Micros kMaxPollInterval = 3'500'000;  // us; from a call that fails to the next, at most
    static constexpr Micros kLocalAgentMaxBackoff = 100'000;

private:
    bool own_agent_;
    Micros window_, back_off_;  // back_off_: the longest first wait behind a call that nobody answered
    int failures_ = 0;          // in a row
};

class PollTimeouts {
public:
    // `seed` tells this router from the others: how long its first held call is held is drawn by it, since
    // watches that begin together else end together ever after. Many routers call less often, and those whose
    // held calls are refused again and again less often still.
    PollTimeouts(const Settings& settings, std::uint64_t seed);

    // The next call, both us from its beginning, its connection included: how long discovery is to hold it
    // back while there is nothing to tell, whole ms, 0 where it is to answer at once; and when it is given
    // up.
    struct Next {
        Micros hold_us, timeout_us;
    };
    Next next() const;

    // What became of the last call, which was held or not: it was answered by a list; it was refused by an
    // answer that is none; nobody answered in time, or its connection broke.
    void on_list(bool held);
    void on_rejection(bool held);
    void on_silence(bool held);
    // Discovery is at another address: nothing is known of that one.
    void on_address_change() { behind_ = Behind::nothing; }

    static constexpr Micros kHoldSlack =
        600'000;  // us; behind the hold: empty answers were at most 300 ms late
    static constexpr Micros kMaxHold = 12'000'000;  // us; 0.09 calls a second and router

private:
    // What is known of discovery. A call is held only behind an answer of whatever kind: of one that is held
    // nothing shows up to its end.
    enum class Behind { nothing, answer, refusal };

    Behind behind_ = Behind::nothing;
    Micros usual_hold_, hold_, short_, patience_;
    int short_left_ = 0;    // calls behind a silence that are waited for less
    int held_refused_ = 0;  // held calls in a row
};

}  // namespace sloestack::decision
