// What of the interface is no decision: whether settings can be run, and names as operators read them.
// Interface: include/sloestack/router.h
#include <stdexcept>

#include "sloestack/router.h"

namespace sloestack::decision {

void validate(const Settings& s) {
    const auto want = [](bool is_valid, const char* key) {
        if (!is_valid) throw std::invalid_argument(std::string(key) + ": absent or out of range");
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

const char* metric_name(Outcome outcome) {
    static constexpr const char* kNames[kOutcomeCount] = {
        "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"};
    return kNames[static_cast<std::size_t>(outcome)];
}
const char* metric_name(RejectionReason reason) {
    static constexpr const char* kNames[kRejectionReasonCount] = {
        "unknown_class",  "throttled",    "not_admitted", "no_primary",     "no_member",
        "avoided",        "cold",         "no_room",      "not_new_enough", "out_of_time",
        "may_not_repeat", "retry_budget", "failing"};
    return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace sloestack::decision
