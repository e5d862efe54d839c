// What a run comes to in figures: counts for each tenth of a second and process, and the return to full
// service. Pure: events go in by time.
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

constexpr Micros kBin = 100'000;

struct Bin {
    // Requests by their first try's arrival, as it ended for the client.
    std::uint64_t requests = 0, in_aim = 0;
    // By the time of the event.
    std::uint64_t answers = 0, refused = 0, failed = 0, none = 0, unsent = 0;  // of each try
    std::uint64_t attempts = 0, turned = 0, links = 0, links_refused = 0, probes = 0;
    // Connections that nobody could do without who sends each request on as it comes: a process's first to a
    // bank, or its first there since one that stood idle so long was closed.
    std::uint64_t links_needed = 0;
    std::uint64_t calls = 0, calls_failed = 0;
    int up = 0;  // 1 while it is ready; of all of them: how many are
    Bin& operator+=(const Bin& other);
};

// How service came back. Rates are a second, counted over windows of one second.
struct Return {
    bool measured = false;    // there was a fault and a steady time before it
    Time last_up = 0;         // when the last process that had gone was ready again; 0: none had gone
    Micros full_after = -1;   // from then until service was full for good; -1: never in this run
    double share_before = 0;  // of requests answered within their aim
    Micros p99_before = 0;
    std::uint64_t worst_bins = 0;  // tenths of a second out of full service, from the fault on
    struct Kind {
        double steady = 0, highest = 0;
        double overshoot() const { return steady > 0 ? highest / steady : 0; }
    } attempts, links, links_needed, calls, probes;
    std::uint64_t refused = 0, failed = 0, none = 0, unsent = 0, requests = 0,
                  in_aim = 0;  // from the fault on
};

class Tally {
public:
    // `members` are in a bank; links that stand idle for `idle` are closed.
    Tally(int proxies, Time begins, Micros length, int members = 1, Micros idle = 15'000'000);
    void saw(const emulator::Event& event);

    const std::vector<Bin>& of(int proxy) const { return bins_.at(static_cast<std::size_t>(proxy)); }
    std::vector<Bin> total() const;
    // Judged from `steady_from` to `fault` as the time before, and from `fault` on; both count from the
    // beginning.
    Return back_to_service(Micros steady_from, Micros fault) const;
    // By class and end of the last try.
    const std::map<std::pair<int, std::string>, std::uint64_t>& ends() const { return ends_; }
    // By how much the rig's own turns came too late: the most in each second of each of its processes,
    // sorted.
    std::vector<Micros> busy() const;
    // Latency of what was served within [from, to) of the beginning, by first arrival; 0 where nothing was.
    Micros quantile(double share, Micros from, Micros to) const;

private:
    Bin* bin(int proxy, Time at);
    bool needs_link(const emulator::Event& arrived);

    Time begins_;
    int members_;
    Micros idle_;
    std::vector<std::map<int, Time>> banks_;  // by process: when it last sent to a bank
    std::vector<std::vector<Bin>> bins_;
    std::vector<std::vector<std::int32_t>> latencies_;  // by bin of the first arrival, us
    std::map<std::pair<int, std::string>, std::uint64_t> ends_;
    Time last_up_ = 0;
    std::vector<Micros> busy_;
};

}  // namespace fault_harness
