// What of the interface is no decision: whether settings can be run, and names as operators read them.
// Interface: include/sloestack/router.h
#include <stdexcept>

#include "sloestack/router.h"

namespace sloestack::decision {

void check(const Settings& s) {
    const auto want = [](bool ok, const char* key) {
        if (!ok) throw std::invalid_argument(std::string(key) + ": absent or out of range");
    };
    want(!s.classes.empty(), "classes");
    for (const auto& c : s.classes) {
        want(c.aim_us > 0, "classes.aim");
        want(c.deadline_us > 0, "classes.deadline");
        want(c.need != Need::bounded || c.staleness_bound_us > 0, "classes.staleness-bound");
        want(c.effect != Effect::keyed || c.repeat_window_us > 0, "classes.repeat-window");
    }
    want(s.routers > 0, "routers");
    want(s.max_attempts > 0, "max-attempts");
    want(s.cold_share > 0 && s.cold_share <= 1, "cold-share");
}

const char* name(Outcome outcome) {
    static constexpr const char* kNames[kOutcomes] = {
        "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"};
    return kNames[static_cast<std::size_t>(outcome)];
}
const char* name(Cause cause) {
    static constexpr const char* kNames[kCauses] = {
        "unknown_class",  "throttled",    "not_admitted", "no_primary",     "no_member",
        "avoided",        "cold",         "no_room",      "not_new_enough", "out_of_time",
        "may_not_repeat", "retry_budget", "failing"};
    return kNames[static_cast<std::size_t>(cause)];
}

}  // namespace sloestack::decision
