// A request that has arrived and has not ended.
#pragma once

#include <algorithm>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::decision {

struct Attempt {
    EndpointId endpoint = 0;
    bool is_open = true;       // in flight
    bool may_have_run = true;  // false once its outcome proves that it did not execute the request
};

struct Request {
    Arrival arrival;
    Time arrived_at = 0;
    Time required_position = 0;  // that an endpoint must have applied; 0: any
    Time queued_until = 0;       // while queued: when it is given up
    bool is_queued = false;
    bool had_error = false;  // an attempt has ended with Outcome::error
    std::vector<Attempt> attempts = {};
    int open_attempts = 0;
    // Why the last search for an endpoint found none.
    RejectionReason blocked_reason = RejectionReason::no_eligible_endpoint;
    // Time and zone of the first attempt that may have run; not used for idempotent requests.
    Time first_effect_at = -1;
    int first_effect_zone = 0;

    RequestId id() const { return arrival.request; }
    std::size_t class_index() const { return static_cast<std::size_t>(arrival.request_class); }
    bool may_have_run() const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [](const Attempt& attempt) { return attempt.may_have_run; });
    }
};

}  // namespace sloestack::decision
