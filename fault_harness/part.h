// The processes of a run other than the proxies: discovery, endpoints, clients. Each computes the whole plan
// from the run's folder and carries out its part of it from the start time that the conductor sends.
#pragma once

#include <string>

namespace fault_harness {

// Runs the process `part` of `role` (discovery, members or clients) until the conductor closes the channel on
// file descriptor 3. `folder` is the folder of the run, with scenario.json, run.json (seed, block, proxies,
// parts) and the records of the processes. Throws std::runtime_error if a file or address cannot be used and
// std::invalid_argument if `role` or the run is invalid.
void run_part(const std::string& folder, const std::string& role, int part);

}  // namespace fault_harness
