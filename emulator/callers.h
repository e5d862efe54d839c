// Simulates the polls of many routers to one discovery of bounded capacity, in simulated time and without
// sockets, for fleets that are too large to run as processes. Uses the poll schedule of the proxy
// (decision/discovery_poll_schedule) and a queue as the model of discovery.
#pragma once

#include <cstdint>
#include <vector>

#include "sloestack/router.h"

namespace emulator {

using sloestack::decision::Micros;
using sloestack::decision::Time;

struct CallersSettings {
    int routers = 1;
    double capacity = 1;  // polls per second and router that discovery handles, one after another
    Micros longest_queue = 2'000'000;  // a poll that would wait longer is rejected at once
    bool long_polls_are_free =
        false;                // a long poll that follows a response continues its watch and costs nothing
    Micros change_every = 0;  // time between changes of the list; 0: no changes
    Micros last_change = 0;   // no changes after this time
    Micros length = 30'000'000;
    std::uint64_t seed = 1;
};
struct CallersReport {
    int calls = 0, failed = 0;
    int failed_late = 0;          // of those that ended in the last third
    double notified_in_time = 1;  // share of (router, change) pairs notified within 6 s; 1 if there are none
    Micros longest_notification_us = 0;  // longest time from a change to the last router's notification
    int watching = 0;                    // routers with an open long poll at the end
};

// Simulates a fleet whose routers all start at time 0. Equal settings give equal reports.
CallersReport play_callers(const CallersSettings& settings);

}  // namespace emulator
