// Tests of the poll schedule with a whole fleet and a discovery of limited capacity: polls must not keep
// discovery overloaded, and changes must be notified within the operators' bound of six seconds while
// discovery is reachable.
#include <gtest/gtest.h>

#include "emulator/callers.h"

namespace {

using emulator::CallersReport;
using emulator::CallersSettings;

// `capacity` is in polls per second and router. `long_polls_are_free`: a long poll that follows a response at
// once uses no capacity.
CallersReport simulate_fleet(int routers, double capacity, bool long_polls_are_free) {
    CallersSettings settings;
    settings.routers = routers, settings.capacity = capacity,
    settings.long_polls_are_free = long_polls_are_free;
    settings.change_every = 4'000'000, settings.last_change = 20'000'000, settings.length = 60'000'000;
    return emulator::play_callers(settings);
}

// Guards against retries that sustain an overload: the fleet must settle at any capacity, with most routers
// in a long poll and no failures in the last third.
TEST(DiscoveryPollSchedule, SettlesAtAnyDiscoveryCapacity) {
    for (const bool free : {true, false})
        for (const int routers : {30, 300, 1700})
            for (const double capacity : {0.1, 0.2, 0.3, 0.5, 1.0, 3.0}) {
                const auto report = simulate_fleet(routers, capacity, free);
                const bool scarce = capacity < 0.15 && !free;  // one poll in 10 s per router
                EXPECT_LE(report.failed_late, scarce ? 4 * routers : 0)
                    << routers << " at " << capacity << free;
                EXPECT_GE(report.watching, routers * (scarce ? 6 : 7) / 10)
                    << routers << " at " << capacity << free;
            }
}

// Only the first poll of a router uses capacity, so that the fleet needs 1 / capacity seconds to connect.
TEST(DiscoveryPollSchedule, NotifiesInTimeFromAQuarterPollPerSecondAndRouter) {
    for (const int routers : {3, 30, 300, 1700})
        for (const double capacity : {0.25, 0.3, 0.5, 1.0, 3.0}) {
            const auto report = simulate_fleet(routers, capacity, true);
            EXPECT_EQ(report.notified_in_time, 1) << routers << " at " << capacity;
            EXPECT_LE(report.failed, 2 * routers) << routers << " at " << capacity;
        }
}

// A change ends all long polls at once; the polls that follow must fit into discovery's queue of 2 s.
TEST(DiscoveryPollSchedule, NotifiesInTimeFromHalfAPollIfLongPollsUseCapacity) {
    for (const int routers : {30, 300, 1700})
        for (const double capacity : {0.5, 0.7, 1.0, 3.0})
            EXPECT_EQ(simulate_fleet(routers, capacity, false).notified_in_time, 1)
                << routers << " at " << capacity;
}

}  // namespace
