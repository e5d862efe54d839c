// Whether settings can be run.
// Interface: include/sloestack/router.h
#include <stdexcept>

#include "sloestack/router.h"

namespace sloestack::decision {

void validate(const Settings& s) {
    const auto want = [](bool ok, const char* key) {
        if (!ok) throw std::invalid_argument(std::string(key) + ": absent or out of range");
    };
    want(!s.classes.empty(), "classes");
    for (const auto& c : s.classes) {
        want(c.latency_objective_us > 0, "classes.aim");
        want(c.deadline_us > 0, "classes.deadline");
        want(c.consistency != Consistency::bounded_staleness || c.staleness_bound_us > 0,
             "classes.staleness-bound");
        want(c.idempotency != Idempotency::keyed || c.idempotency_window_us > 0, "classes.repeat-window");
    }
    want(s.router_count > 0, "routers");
    want(s.max_attempts > 0, "max-attempts");
    want(s.slow_start_min_capacity_ratio > 0 && s.slow_start_min_capacity_ratio <= 1, "cold-share");
}

}  // namespace sloestack::decision
