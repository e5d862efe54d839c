// Runs seeded simulations of the decision module and prints every action of every router. Two builds make the
// same decisions if and only if their output is identical; scripts/compare-decisions compares it.
//
//   decision_trace           all scenarios
//   decision_trace NAME ...  the named scenarios
//   decision_trace --list    prints the names of all scenarios
#include <algorithm>

#include "fleet.h"

int main(int argc, char** argv) {
    const std::vector<std::string> names(argv + 1, argv + argc);
    const bool list = names.size() == 1 && names.front() == "--list";
    decision_trace::Trace trace(stdout);
    for (const auto& scenario : decision_trace::all_scenarios()) {
        if (list) {
            std::printf("%s\n", scenario.name.c_str());
            continue;
        }
        const bool named = std::find(names.begin(), names.end(), scenario.name) != names.end();
        if (!names.empty() && !named) continue;
        decision_trace::Fleet(scenario, trace).run();
    }
    return std::fclose(stdout) == 0 ? 0 : 1;
}
