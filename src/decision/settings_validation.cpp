// Validation of settings. Error messages name the setting by a short form of its key in core/settings.
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

}  // namespace sloestack::decision
