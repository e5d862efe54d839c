// The processes beside the proxies: discovery, members, clients. Each draws the whole plan from the run's
// folder and carries out its own part of it, on the conductor's word of when the run begins.
#pragma once

#include <string>

namespace fault_harness {

// A run's folder holds scenario.json, run.json (seed, block, proxies, parts) and what the processes record.
// Returns when the conductor closes its channel (descriptor 3). `role`: discovery, members or clients.
// Throws std::runtime_error, std::invalid_argument.
void run_part(const std::string& folder, const std::string& role, int part);

}  // namespace fault_harness
