// Many routers' calls for the list before one discovery of bounded capacity, in simulated time and without
// sockets: the schedule that serves (decision/discovery_poll_schedule) and a queue. For sizes that processes
// do not reach.
#pragma once

#include <cstdint>
#include <vector>

#include "sloestack/router.h"

namespace emulator {

using sloestack::decision::Micros;
using sloestack::decision::Time;

struct CallersSettings {
    int routers = 1;
    double capacity = 1;  // calls a second and router that discovery handles, one after the other
    Micros longest_queue = 2'000'000;  // a call that would wait longer is refused at once
    bool long_polls_are_free =
        false;                // a held call right behind an answer goes on with its watch: it costs nothing
    Micros change_every = 0;  // from one change of the list to the next; 0: none
    Micros last_change = 0;   // none from then on
    Micros length = 30'000'000;
    std::uint64_t seed = 1;
};
struct CallersReport {
    int calls = 0, failed = 0;
    int failed_late = 0;          // of those that ended in the last third
    double notified_in_time = 1;  // share of (router, change) pairs told within 6 s; 1 where there are none
    Micros longest_notification_us = 0;  // the longest from a change to the router that heard of it last
    int watching = 0;                    // routers with a held call out at the end
};

// Plays the fleet from the start of all at once. Equal settings give equal reports.
CallersReport play_callers(const CallersSettings& settings);

}  // namespace emulator
