// Plays seeded days round the decision module and prints every action of every router. Two builds decide
// alike if and only if they print the same bytes; scripts/compare-decisions compares them.
//
//   decision_trace           all scenarios
//   decision_trace NAME ...  those named
//   decision_trace --list    their names
#include <algorithm>

#include "fleet.h"

int main(int argc, char** argv) {
    const std::vector<std::string> wanted(argv + 1, argv + argc);
    const bool list = wanted.size() == 1 && wanted.front() == "--list";
    decision_trace::Trace trace(stdout);
    for (const auto& scenario : decision_trace::all_scenarios()) {
        if (list) {
            std::printf("%s\n", scenario.name.c_str());
            continue;
        }
        const bool named = std::find(wanted.begin(), wanted.end(), scenario.name) != wanted.end();
        if (!wanted.empty() && !named) continue;
        decision_trace::Fleet(scenario, trace).play();
    }
    return std::fclose(stdout) == 0 ? 0 : 1;
}
