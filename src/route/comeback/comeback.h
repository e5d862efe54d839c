// When a router that has just started calls discovery, while hundreds of others start beside it and call the
// same one service. Its share is that of one router in a budget of all of them. Pure: time is not looked at,
// and draws are passed in.
#pragma once

#include <cstdint>

#include "nettletrestle/router.h"

namespace nettletrestle::route {

class Comeback {
public:
    // Of the settings: how many routers, over 0, share discovery, and how long one may go without asking
    // before what discovery has to tell counts as told (0: nothing says so).
    explicit Comeback(const Settings& settings);

    // From the start to the first call, us, at least 1; `draw` lies in [0, 1).
    Micros first_call(double draw) const;
    // A call has failed: from now to the next, us.
    Micros call_failed(double draw);
    void call_answered() { wait_ = kWait; }
    // Whether a member counts as its group's primary for reads because a list says so, before it has said so
    // itself. The list may be that of before the start, as old as can be: only where members turn away what
    // they are too far behind for, or where nobody can be asked.
    bool believes_listed() const { return believes_listed_; }

    static constexpr Micros kWait = 700'000;  // us; window of the first call, first wait after a failed one
    static constexpr Micros kWaitMost = 3'000'000;  // us; longest wait, well inside the interval for asking
    static constexpr Micros kCallShare =
        8'000;  // us a router: all that start at once call 125 times a second

private:
    Micros window_, wait_ = kWait;
    bool believes_listed_;
};

// Of a watch on the list: how long discovery is to hold the first call, at least 1 ms and at most `full` us,
// in whole milliseconds; `full` holds for any later one. Watches that begin together else end together ever
// after, all of them at once every `full` us. `seed` tells this router from the others.
Micros first_hold(std::uint64_t seed, Micros full);

}  // namespace nettletrestle::route
