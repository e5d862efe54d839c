// The scenarios of decision_trace: settings of the routers, size of the fleet and rate of requests.
#pragma once

#include <string>
#include <vector>

#include "sloestack/router.h"

namespace decision_trace {

struct Scenario {
    std::string name;
    sloestack::decision::Settings settings;  // of each router, except its index and zone
    std::uint64_t seed = 0;
    int routers = 0;
    int groups = 0;
    int endpoints_per_group = 0;
    int zones = 3;
    sloestack::decision::Micros duration_us = 0;
    std::int64_t requests_per_second = 0;  // to all routers together
};

// Returns each profile of settings with 3, 30 and 300 routers.
std::vector<Scenario> all_scenarios();

}  // namespace decision_trace
