// Prints the polls that fleets of routers send to discovery, by fleet size and by the capacity of discovery:
// the table of docs/design/crossings.md. Not part of CI. Takes no arguments; prints one line per case.
#include <cstdio>

#include "emulator/callers.h"

int main() {
    std::printf("%8s %6s %5s %8s %8s %8s %8s %9s %9s\n", "routers", "cap/s", "long", "polls/s", "failed",
                "late", "in time", "last s", "watching");
    for (const bool free : {true, false})
        for (const int routers : {3, 30, 300, 1700})
            for (const double capacity : {0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.7, 1.0, 3.0}) {
                emulator::CallersSettings s;
                s.routers = routers, s.capacity = capacity, s.long_polls_are_free = free;
                s.change_every = 4'000'000, s.last_change = 20'000'000, s.length = 60'000'000;
                const auto r = emulator::play_callers(s);
                std::printf("%8d %6.2f %5s %8.2f %8.2f %8.2f %8.3f %9.1f %9.2f\n", routers, capacity,
                            free ? "free" : "cost", r.calls / 60.0 / routers,
                            static_cast<double>(r.failed) / routers,
                            static_cast<double>(r.failed_late) / routers, r.notified_in_time,
                            static_cast<double>(r.longest_notification_us) / 1e6,
                            static_cast<double>(r.watching) / routers);
            }
}
