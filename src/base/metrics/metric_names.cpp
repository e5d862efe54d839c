#include "metrics/metric_names.h"

namespace sloestack::metrics {

using decision::Outcome;
using decision::RejectionReason;

const char* metric_name(Outcome outcome) {
    switch (outcome) {
        case Outcome::ok:
            return "ok";
        case Outcome::error:
            return "error";
        case Outcome::overloaded:
            return "full";
        case Outcome::timeout:
            return "timeout";
        case Outcome::connect_failed:
            return "connect_failed";
        case Outcome::reset:
            return "reset";
        case Outcome::cancelled:
            return "cancelled";
        case Outcome::expired:
            return "moot";
        case Outcome::not_eligible:
            return "miss";
    }
    return "";
}

const char* metric_name(RejectionReason reason) {
    switch (reason) {
        case RejectionReason::unknown_class:
            return "unknown_class";
        case RejectionReason::write_throttled:
            return "throttled";
        case RejectionReason::read_not_admitted:
            return "not_admitted";
        case RejectionReason::no_primary:
            return "no_primary";
        case RejectionReason::no_eligible_endpoint:
            return "no_member";
        case RejectionReason::ejected:
            return "avoided";
        case RejectionReason::slow_start:
            return "cold";
        case RejectionReason::at_capacity:
            return "no_room";
        case RejectionReason::too_stale:
            return "not_new_enough";
        case RejectionReason::deadline_exceeded:
            return "out_of_time";
        case RejectionReason::not_retryable:
            return "may_not_repeat";
        case RejectionReason::retry_budget_exhausted:
            return "retry_budget";
        case RejectionReason::repeated_error:
            return "failing";
    }
    return "";
}

}  // namespace sloestack::metrics
