// What a run's folder says of it, for the processes that take part and for reports.
#pragma once

#include <string>

#include "fault_harness/scenario.h"

namespace fault_harness {

struct Run {
    Plan plan;
    int block = 0;
    int member_parts = 1, client_parts = 1;
    Time begins = 0;  // 0: it has not begun
};

std::string read_text(const std::string& path);             // throws std::invalid_argument
void write_run(const std::string& folder, const Run& run);  // throws std::runtime_error
Run read_run(const std::string& folder);                    // throws std::invalid_argument

}  // namespace fault_harness
