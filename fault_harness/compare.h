// Compares the reports of two builds by means, and pairwise on the seeds that both ran.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fault_harness {

struct Interval {
    // `half_width`: half the width of the 95 % confidence interval of the mean; 0 for fewer than two values.
    double mean = 0, half_width = 0;
    std::size_t count = 0;
};
// Returns the mean and its confidence interval by Student's t distribution; assumes independent values.
Interval interval(const std::vector<double>& values);

// The report of one run.
struct Sample {
    std::string build, scenario;
    int proxies = 0;
    std::uint64_t seed = 0;
    nlohmann::json figures;
};
struct Row {
    std::string scenario, figure;
    int proxies = 0;
    std::vector<Interval> builds;  // in the order of the names passed to compare()
    Interval change;               // second build minus first, on the seeds that both have
};
// Returns the figures of a report that are compared, by name; std::nullopt if the report lacks the figure.
std::vector<std::pair<std::string, std::optional<double>>> compared_figures(const nlohmann::json& figures);
std::vector<Row> compare(const std::vector<Sample>& samples, const std::vector<std::string>& names);

// Reads the files BUILD.SCENARIO.PROXIES.SEED.json in `folder`. Throws std::invalid_argument naming the file
// if one has another name or is not a JSON object.
std::vector<Sample> read_samples(const std::string& folder);

}  // namespace fault_harness
