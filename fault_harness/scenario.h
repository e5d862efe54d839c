// A scenario file and the plan drawn from it: which processes there are, and what goes wrong when, to whom.
// Pure: one scenario and one seed give one plan, in whichever process it is drawn.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/discovery.h"
#include "emulator/fleet.h"
#include "emulator/load.h"

namespace fault_harness {

using emulator::Micros;
using emulator::Time;

enum class Do {
    kill,   // SIGKILL; started again at the end
    term,   // SIGTERM; started again at the end, or once it has ended
    stop,   // SIGSTOP, and SIGCONT at the end
    cut,    // an edge: nothing passes, nothing comes up
    reset,  // its connections are reset, at the beginning only
    delay,
    slow,
    lose,
    discovery_slow,
    discovery_empty,
    discovery_behind,
    discovery_gone,
    discovery_silent,  // at the beginning only: the watches that are open are never answered
    member_crash,      // and cold when it is back
    member_hang,
    member_replace,
    member_drain,
    member_stall,
    member_slow_apply,
};
enum class Ends { members, discovery, clients };  // what an edge leads to, from a proxy

// One thing that goes wrong, with all that is drawn. Times count from the run's beginning.
struct Step {
    Do what = Do::kill;
    Micros at_us = 0, end_us = 0;
    std::vector<int> proxies, members;  // those it concerns, sorted
    Ends edge = Ends::members;
    bool in = true, out = true;  // which ways of the edge: towards the stand-in, away from it
    emulator::Condition condition;
    double slow_times = 1;
    std::string text() const;  // for records
};

struct Scenario {
    int proxies = 1, zones = 1;
    double rate_per_s = 10, uneven = 1;
    Micros steady_from_us = 0, length_us = 0, notice_us = 1'000'000;
    emulator::FleetSettings fleet;
    emulator::SessionSettings sessions;
    Micros call_us = 0, entry_us = 0, longest_queue_us = 0;
    std::string text;  // as it was read

    // JSON with comments; throws std::invalid_argument, a sentence that names the part that is wrong.
    // `proxies` above 0 takes the place of the file's, with as many banks in proportion.
    static Scenario read(const std::string& text, int proxies = 0);
};

struct Plan {
    Scenario scenario;
    std::uint64_t seed = 1;
    std::vector<Step> steps;  // by time
    // Where the first fault begins; the length where there is none.
    Micros first_fault_us() const;
};
Plan draw(const Scenario& scenario, std::uint64_t seed);

// ---- addresses: all of them within 127.`block`.0.0/16 ----
constexpr std::uint16_t kProxyPort = 5433, kDiscoveryPort = 8500, kFirstMemberPort = 10'000;
std::string host_of(int block, int proxy);  // of a proxy, and where it reaches everything else
sockaddr_in proxy_address(int block, int proxy);
emulator::DiscoverySettings discovery_settings(const Scenario& scenario, int block);
emulator::FleetSettings fleet_settings(const Plan& plan, int block, int part, int parts);
emulator::LoadSettings load_settings(const Plan& plan, int block, int part, int parts);
int zone_of(const Scenario& scenario, int proxy);

}  // namespace fault_harness
