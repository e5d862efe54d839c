// Figures of a run: counts per proxy and 100 ms, and the recovery to full service. Events must be added in
// order of time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "emulator/event.h"
#include "emulator/values.h"

namespace fault_harness {

using emulator::Micros;
using emulator::Time;

constexpr Micros kBinUs = 100'000;

struct Bin {
    // Counted at the arrival of a request's first try; `in_objective`: served within the latency objective.
    std::uint64_t requests = 0, in_objective = 0;
    // Counted at the time of the event.
    std::uint64_t responses = 0, rejected = 0, failed = 0, unanswered = 0,
                  unsent = 0;  // responses by outcome, for each try
    std::uint64_t attempts = 0, rejected_by_endpoint = 0, connections = 0, connections_rejected = 0,
                  health_checks = 0;
    // Connections that a proxy cannot avoid if it forwards each request on arrival: its first to a replica
    // group, and the first after its connections there were closed for being idle.
    std::uint64_t connections_needed = 0;
    std::uint64_t polls = 0, polls_failed = 0;
    int up = 0;  // 1 while the proxy is ready; in totals the number of ready proxies
    Bin& operator+=(const Bin& other);
};

// The recovery of service after the first fault. Rates are per second, over windows of one second.
struct Recovery {
    bool measured = false;    // false if there was no fault, or less than 1 s of steady traffic before it
    Time last_up = 0;         // when the last restarted proxy was ready again; 0: no proxy was down
    Micros full_after = -1;   // from then until service stayed full; -1: not within the run
    double share_before = 0;  // of requests served within their latency objective
    Micros p99_before = 0;
    std::uint64_t degraded_bins = 0;  // 100 ms bins that begin a window without full service, since the fault
    struct Rate {
        double steady = 0, highest = 0;
        double overshoot() const { return steady > 0 ? highest / steady : 0; }
    } attempts, connections, connections_needed, polls, health_checks;
    std::uint64_t rejected = 0, failed = 0, unanswered = 0, unsent = 0, requests = 0,
                  in_objective = 0;  // since the fault
};

class Tally {
public:
    // `group_size`: endpoints per replica group. `idle_timeout`: time after which proxies close idle
    // connections.
    Tally(int proxies, Time start_time, Micros length, int group_size = 1, Micros idle_timeout = 15'000'000);
    void add(const emulator::Event& event);

    const std::vector<Bin>& proxy_bins(int proxy) const { return bins_.at(static_cast<std::size_t>(proxy)); }
    std::vector<Bin> total() const;
    // Compares service since `fault` with service from `steady_from` to `fault`. Both count from the start of
    // the run.
    Recovery recovery(Micros steady_from, Micros fault) const;
    // Number of requests by request class and outcome of the last try.
    const std::map<std::pair<int, std::string>, std::uint64_t>& outcomes() const { return outcomes_; }
    // The longest timer delay in each second of each process of the fault harness, sorted.
    std::vector<Micros> timer_delays() const;
    // Latency quantile of served requests whose first try arrived within [from, to) of the start of the run;
    // 0 if there are none.
    Micros quantile(double share, Micros from, Micros to) const;

private:
    Bin* bin(int proxy, Time at);
    bool needs_connection(const emulator::Event& arrived);

    Time start_time_;
    int group_size_;
    Micros idle_timeout_;
    std::vector<std::map<int, Time>>
        group_last_sent_;  // by proxy and replica group: time of the last attempt
    std::vector<std::vector<Bin>> bins_;
    std::vector<std::vector<std::int32_t>> latencies_;  // by bin of the first try's arrival, us
    std::map<std::pair<int, std::string>, std::uint64_t> outcomes_;
    Time last_up_ = 0;
    std::vector<Micros> timer_delays_;
};

}  // namespace fault_harness
