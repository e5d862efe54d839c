// The description of a run in its folder, read by the processes of the run and by reports.
#pragma once

#include <string>

#include "fault_harness/scenario.h"

namespace fault_harness {

// Contents of scenario.json and run.json.
struct Run {
    Plan plan;
    int block = 0;                             // second byte of the loopback addresses, 127.block.0.0/16
    int endpoint_parts = 1, client_parts = 1;  // number of processes
    Time start_time = 0;                       // 0: not started yet
};

std::string read_text(const std::string& path);             // throws std::invalid_argument
void write_run(const std::string& folder, const Run& run);  // throws std::runtime_error
Run read_run(const std::string& folder);                    // throws std::invalid_argument

}  // namespace fault_harness
