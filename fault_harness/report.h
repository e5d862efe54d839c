// A run's record, judged and told: rules, figures, and the files that plots are made from.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace fault_harness {

struct Verdict {
    std::vector<std::string> broken;  // rules
    nlohmann::json figures;
};
// Reads the run in `folder`; `slack_us` is added to every limit on time that the rules have. Throws
// std::invalid_argument where it is no run's.
Verdict judge(const std::string& folder, std::int64_t slack_us = 0);
// As tables on standard output.
void print(const Verdict& verdict);
// Writes series.tsv, a row for each tenth of a second, processes.tsv, and plot.gp into the folder; and
// plot.png where gnuplot is there: false where it is not.
bool plot(const std::string& folder);

}  // namespace fault_harness
