// The parts of the interface that decide nothing: the validation of settings and the names in the metrics.
#include <stdexcept>

#include "sloestack/router.h"

namespace sloestack::decision {

void validate(const Settings& settings) {
    const auto require = [](bool is_valid, const char* key) {
        if (!is_valid) throw std::invalid_argument(std::string(key) + ": absent or out of range");
    };
    require(!settings.classes.empty(), "classes");
    for (const auto& request_class : settings.classes) {
        const bool is_bounded = request_class.consistency == Consistency::bounded_staleness;
        const bool is_keyed = request_class.idempotency == Idempotency::keyed;
        require(request_class.latency_objective_us > 0, "classes.aim");
        require(request_class.deadline_us > 0, "classes.deadline");
        require(!is_bounded || request_class.staleness_bound_us > 0, "classes.staleness-bound");
        require(!is_keyed || request_class.idempotency_window_us > 0, "classes.repeat-window");
    }
    const double min_ratio = settings.slow_start_min_capacity_ratio;
    require(settings.router_count > 0, "routers");
    require(settings.max_attempts > 0, "max-attempts");
    require(min_ratio > 0 && min_ratio <= 1, "cold-share");
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
