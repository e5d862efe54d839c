// What a router that has just started may do of its own accord, while hundreds of others start beside it: one
// state machine a process, and its share of what all of them may do together. Pure: time is not looked at,
// and draws are passed in.
//
//   cold      serves by the list from before its start, as old as that may be
//   learning  discovery has told it a list since; members are known by what the list says of them
//   serving   of nine in ten groups that clients have asked for, a member has said itself what it is
//
// It moves on by evidence alone, never by time, and never back. What each state allows is at the functions.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "nettletrestle/router.h"

namespace nettletrestle::route {

class Comeback {
public:
    enum class State { cold, learning, serving };

    // Of the settings: how many routers, over 0, share discovery, how long one may go without asking before
    // what discovery has to tell counts as told (0: nothing says so), and whether members check reads.
    explicit Comeback(const Settings& settings);

    // ---- evidence ----
    void list_told();       // a list, whole or changes, that discovery has told since the start
    void asked(int group);  // a client's request has come for it
    void heard(int group);  // a member of it has said itself whether it is a primary or a replica
    State state() const { return state_; }
    // Told once for each state that is reached: a line for the log; `since_start` in us, at least 0.
    std::optional<std::string> moved(Micros since_start);

    // ---- calls for the list ----
    // From the start to the first call, us, at least 1; `draw` lies in [0, 1).
    Micros first_call(double draw) const;
    // A call has failed: from now to the next, us. While cold it is held to the window of the first, since
    // all that came back with it are likely to have failed beside it.
    Micros call_failed(double draw);

    // ---- what is believed ----
    // Whether a member counts as its group's primary for reads because a list says so, before it has said so
    // itself. The list may be that of before the start, as old as can be: only where members turn away what
    // they are too far behind for, or where nobody can be asked.
    bool believes_listed() const { return believes_listed_; }

    static constexpr Micros kWait = 700'000;  // us; window of the first call, first wait after a failed one
    static constexpr Micros kWaitMost = 3'000'000;  // us; longest wait, well inside the interval for asking
    static constexpr Micros kCallShare =
        8'000;                                  // us a router: all that start at once call 125 times a second
    static constexpr double kHeardShare = 0.9;  // of the groups asked for: one may be out of reach

private:
    void judge();

    Micros window_, wait_ = kWait;
    bool believes_listed_, told_of_ = true;
    State state_ = State::cold;
    std::set<int> asked_, heard_;  // emptied once serving
};

// Of a watch on the list: how long discovery is to hold the first call, at least 1 ms and at most `full` us,
// in whole milliseconds; `full` holds for any later one. Watches that begin together else end together ever
// after, all of them at once every `full` us. `seed` tells this router from the others.
Micros first_hold(std::uint64_t seed, Micros full);

}  // namespace nettletrestle::route
