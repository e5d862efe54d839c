// Scenario files and the plan derived from one: the processes of a run, and which fault affects which of them
// when. Deterministic: each process of a run derives the same plan from the same scenario and seed.
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

enum class FaultKind {
    kill,     // SIGKILL; restarted at the end of the step
    term,     // SIGTERM; restarted at the end of the step, or on exit if that is later
    hup,      // SIGHUP, which reloads an unchanged configuration
    upgrade,  // a second process is started beside the first, which gets SIGTERM at the end of the step
    move,     // SIGHUP, which moves discovery to its other address
    stop,     // SIGSTOP, then SIGCONT at the end of the step
    cut,      // of an edge: no data passes and no connection is established
    reset,    // resets the connections of an edge once, at the start of the step
    delay,
    slow,
    lose,
    discovery_slow,
    discovery_empty,
    discovery_behind,
    discovery_gone,
    discovery_silent,  // the watches open at the start of the step never get a response
    client_crowd,      // clients that occupy connections and send no request
    member_crash,      // the endpoint is cold after its restart
    member_hang,
    member_replace,
    member_drain,
    member_stall,
    member_slow_apply,
};
enum class EdgePeer { members, discovery, clients };  // the peer on an edge, seen from a proxy

// One fault with all random choices made. Times count from the start of the run.
struct FaultStep {
    FaultKind what = FaultKind::kill;
    Micros at_us = 0, end_us = 0;
    std::vector<int> proxies, members;  // indices of the affected ones, sorted
    EdgePeer edge = EdgePeer::members;
    bool in = true, out = true;  // affected directions: towards the emulator, away from it
    emulator::Condition condition;
    double slow_times = 1;
    int crowd_size = 0;        // connections to each proxy
    std::string text() const;  // description for records
};

struct Scenario {
    int proxies = 1, zones = 1;
    double rate_per_s = 10, uneven = 1;
    Micros steady_from_us = 0, length_us = 0, notice_us = 1'000'000;
    emulator::FleetSettings fleet;
    emulator::SessionSettings sessions;
    double leave = 0;           // share of the clients that leave before their deadline
    double deadline_ratio = 1;  // of the classes' deadlines, to those that the operators state
    int sockets = 1024;         // limit of descriptors of a proxy
    // Whether a proxy that got SIGTERM gets SIGKILL at the earliest time that the operators allow.
    bool kill_after_term = false;
    Micros poll_work_us = 0, entry_work_us = 0, max_queue_us = 0;
    emulator::Overload overload = emulator::Overload::reject;
    double closed_poll_cost = 1;
    std::string text;  // the file's contents

    // The time from SIGTERM to SIGKILL.
    Micros kill_timeout_us() const;
    // Parses JSON with comments. Throws std::invalid_argument naming the invalid part. `proxies` above 0
    // replaces the number in the file, and the number of replica groups is scaled in proportion.
    static Scenario read(const std::string& text, int proxies = 0);
};

struct Plan {
    Scenario scenario;
    std::uint64_t seed = 1;
    std::vector<FaultStep> steps;  // ordered by start time
    // Returns the start of the first fault, or the length of the run if there is none.
    Micros first_fault_us() const;
};
// Derives the plan from the scenario. Throws std::invalid_argument if a fault names an unknown target or ends
// after the run.
Plan draw(const Scenario& scenario, std::uint64_t seed);

// ---- addresses: all of them within 127.`block`.0.0/16 ----
constexpr std::uint16_t kProxyPort = 5433, kDiscoveryPort = 8500, kSecondDiscoveryPort = 8501;
constexpr std::uint16_t kFirstMemberPort = 10'000;
std::string host_of(int block, int proxy);  // of a proxy; its discovery and endpoints listen on the same host
sockaddr_in proxy_address(int block, int proxy);
emulator::DiscoverySettings discovery_settings(const Scenario& scenario, int block);
emulator::FleetSettings fleet_settings(const Plan& plan, int block, int part, int parts);
emulator::LoadSettings load_settings(const Plan& plan, int block, int part, int parts);
int zone_of(const Scenario& scenario, int proxy);

}  // namespace fault_harness
