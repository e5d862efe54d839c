// When a router calls discovery for the list, and how long it waits for what: the one schedule of all calls.
// Pure: time is not looked at, and draws are passed in.
//
// Whatever happens to calls, a change counts as told `kToldBy` after discovery had it and could be reached.
// So the longest chain of waits between a change and the list that tells of it is bounded, constant by
// constant, and the constants grow with the fleet only as far as the bound allows (docs/design/crossings.md
// has the table):
//
//   a held call fell silent as the change came:  hold + kLate, then a call at once:        patience
//   a call failed as the change came:            patience + back-off, then a call:         patience
//   both, where few routers share discovery:     hold + kLate + patience + kFirstBackOff + patience
//
// Where lists are pushed, discovery is an agent of this router's own that nobody else calls, and what it has
// counts as told at once: it is called at the start, and again a tenth of a second after a failure at the
// latest.
#pragma once

#include <cstdint>

#include "nettletrestle/router.h"

namespace nettletrestle::route {

class Calls {
public:
    // Of the settings: how many routers, over 0, share discovery, and whether discovery is an agent of its
    // own.
    explicit Calls(const Settings& settings);

    // From the start to the first call, us, at least 1; `draw` lies in [0, 1).
    Micros first(double draw) const;
    // A call has failed: from now to the next, us, at least 1. Exponential back-off with full jitter.
    Micros failed(double draw);
    // A list has been told: the next failure is the first again.
    void told();

    // How long discovery is to hold a call back while there is nothing to tell. Many routers call less often.
    Micros hold() const { return hold_; }
    // From the beginning of a call that is not held, its connection included, to its last byte.
    Micros patience() const { return patience_; }

    static constexpr Micros kToldBy = 6'000'000;  // us; the operators' term
    static constexpr Micros kLate = 600'000;  // us; behind the hold: empty answers were at most 300 ms late
    static constexpr Micros kPushedBackOff = 100'000;

private:
    Micros window_, hold_, patience_, back_off_least_, back_off_most_, back_off_;
};

// Of a watch on the list: how long discovery is to hold the first call, at least 1 ms and at most `full` us,
// in whole milliseconds; `full` holds for any later one. Watches that begin together else end together ever
// after, all of them at once every `full` us. `seed` tells this router from the others.
Micros first_hold(std::uint64_t seed, Micros full);

}  // namespace nettletrestle::route
