// The schedule of calls as a whole fleet plays it, before a discovery that bears little: no storm feeds
// itself, and the operators' six seconds hold wherever discovery can be reached at all.
#include <gtest/gtest.h>

#include "emulator/callers.h"

namespace {

using emulator::CallersReport;
using emulator::CallersSettings;

CallersReport play(int routers, double capacity, bool held_are_free) {
    CallersSettings s;
    s.routers = routers, s.capacity = capacity, s.held_are_free = held_are_free;
    s.change_every = 4'000'000, s.last_change = 20'000'000, s.length = 60'000'000;
    return emulator::play_callers(s);
}

// Whatever it bears, the fleet comes to rest under it: all watch, and what fails does not go on.
TEST(Storm, AFleetSettlesUnderAnyCapacity) {
    for (const bool free : {true, false})
        for (const int routers : {30, 300, 1700})
            for (const double capacity : {0.1, 0.2, 0.3, 0.5, 1.0, 3.0}) {
                const auto r = play(routers, capacity, free);
                const bool scarce = capacity < 0.15 && !free;  // bears a call in 10 s of each
                EXPECT_LE(r.failed_late, scarce ? 4 * routers : 0) << routers << " at " << capacity << free;
                EXPECT_GE(r.watching, routers * (scarce ? 6 : 7) / 10)
                    << routers << " at " << capacity << free;
            }
}

// A watch goes on for nothing: each router needs one call let in, and N of them take 1 / capacity seconds.
TEST(Storm, SixSecondsHoldFromAQuarterOfACallASecondAndRouter) {
    for (const int routers : {3, 30, 300, 1700})
        for (const double capacity : {0.25, 0.3, 0.5, 1.0, 3.0}) {
            const auto r = play(routers, capacity, true);
            EXPECT_EQ(r.told_in_time, 1) << routers << " at " << capacity;
            EXPECT_LE(r.failed, 2 * routers) << routers << " at " << capacity;
        }
}

// Each held call costs as well, and a change brings all of them at once: they have to fit its queue of 2 s.
TEST(Storm, SixSecondsHoldFromHalfACallWhereHeldCallsCost) {
    for (const int routers : {30, 300, 1700})
        for (const double capacity : {0.5, 0.7, 1.0, 3.0})
            EXPECT_EQ(play(routers, capacity, false).told_in_time, 1) << routers << " at " << capacity;
}

}  // namespace
