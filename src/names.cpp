// The names of outcomes and causes, as operators read them. Interface: include/nettletrestle/router.h
#include "nettletrestle/router.h"

namespace nettletrestle {

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

}  // namespace nettletrestle
