// Runs of two builds on the same seeds, compared pair by pair. Pure.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fault_harness {

struct Interval {
    double mean = 0,
           half = 0;  // mean and half the width of its 95 % interval; 0 width where one value says none
    std::size_t count = 0;
};
// Of values taken to be independent, by Student's t.
Interval interval(const std::vector<double>& values);

struct Sample {  // one run's report
    std::string build, scenario;
    int proxies = 0;
    std::uint64_t seed = 0;
    nlohmann::json figures;
};
struct Row {
    std::string scenario, figure;
    int proxies = 0;
    std::vector<Interval> builds;  // as `names` has them
    Interval change;               // of the second against the first, on the seeds that both have
};
// What is compared of a report, by name; nothing where the run has none of it.
std::vector<std::pair<std::string, std::optional<double>>> compared(const nlohmann::json& figures);
std::vector<Row> compare(const std::vector<Sample>& samples, const std::vector<std::string>& names);

// Files BUILD.SCENARIO.PROXIES.SEED.json in a folder; throws std::invalid_argument naming one that is none.
std::vector<Sample> read_samples(const std::string& folder);

}  // namespace fault_harness
