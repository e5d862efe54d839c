// Evaluation of a run's record: violated rules, figures, and the files for plots.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace fault_harness {

struct Verdict {
    std::vector<std::string> violations;  // messages of the violated rules
    nlohmann::json figures;
};
// Evaluates the run in `folder`. `slack_us` is added to each time limit of the rules. Throws
// std::invalid_argument if the folder holds no valid run.
Verdict evaluate(const std::string& folder, std::int64_t slack_us = 0);
// Prints the figures as tables on standard output.
void print(const Verdict& verdict);
// Writes series.tsv (a row for each 100 ms), processes.tsv and plot.gp into the folder, and plot.png with
// gnuplot. Returns false if gnuplot is not installed or wrote no plot.png.
bool plot(const std::string& folder);

}  // namespace fault_harness
