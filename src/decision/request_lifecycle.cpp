#include "request_lifecycle.h"

#include <algorithm>

#include "outlier_detection.h"

namespace sloestack::decision {

bool RequestLifecycle::forward(Request& request, Endpoint& endpoint, Micros timeout_us, Actions& actions) {
    if (!retry_policy_.may_forward(request, state_.now)) return false;
    if (!retry_policy_.may_forward_to(request, endpoint, state_.now)) return false;
    const double work_s = state_.work_s(request);
    const auto window_left_us = retry_policy_.idempotency_window_left_us(request, state_.now);
    const bool is_idempotent = state_.class_of(request).idempotency == Idempotency::idempotent;
    if (!is_idempotent && !request.may_have_run()) {
        request.first_effect_at = state_.now;
        request.first_effect_zone = endpoint.zone;
    }
    const double slowdown =
        std::max({1.0, state_.latency.fleet_ratio(), latency_ratio(endpoint, state_.now)});
    const auto number = static_cast<int>(request.attempts.size());
    endpoint.in_flight[{request.id(), number}] = {state_.now, state_.baseline_us(request) * slowdown, work_s};
    endpoint.in_flight_work_s += work_s;
    state_.busy_endpoints[endpoint.id] = &endpoint;
    slow_start_.spend(endpoint, work_s, state_.now);
    request.attempts.push_back(Attempt{endpoint.id});
    ++request.open_attempts;
    request.is_queued = false;
    request.blocked_reason = RejectionReason::no_eligible_endpoint;
    actions.emplace_back(Forward{request.id(), endpoint.id, timeout_us, window_left_us});
    return true;
}

void RequestLifecycle::reject(Request& request, Micros retry_after_us, RejectionReason reason,
                              Actions& actions) {
    const auto& settings = state_.settings;
    const Micros advised_us = settings.retry_after_supported ? retry_after_us : 0;
    if (retry_policy_.may_reject(request))
        actions.emplace_back(Reject{request.id(), std::min(advised_us, settings.max_retry_after_us), reason});
    else
        actions.emplace_back(Fail{request.id(), reason});
    close(request, -1, actions);
}

void RequestLifecycle::give_up(Request& request, RejectionReason reason, Actions& actions,
                               Micros retry_after_us) {
    if (request.blocked_reason == RejectionReason::too_stale) {
        auto& throttle = state_.group(request.arrival.replica_group).throttle;
        throttle.stale_reads_weight.add(state_.now, state_.class_of(request).priority_weight);
    }
    if (!retry_after_us) {
        const double jitter = 0.5 + state_.random.unit();
        retry_after_us = as_micros(as_double(retry_policy_.retry_after_us(request)) * jitter);
    }
    reject(request, retry_after_us, reason, actions);
}

void RequestLifecycle::close(const Request& request, int successful_attempt, Actions& actions) {
    if (!state_.class_of(request).is_write) {
        const Micros objective_us = state_.class_of(request).latency_objective_us;
        const bool was_late = state_.now - request.arrived_at > objective_us;
        ReadAdmission::record(state_.group(request.arrival.replica_group), request.class_index(), state_.now,
                              successful_attempt >= 0, was_late);
    }
    if (state_.settings.cancel_allowed)
        for (int number = 0; number < static_cast<int>(request.attempts.size()); ++number)
            if (request.attempts[static_cast<std::size_t>(number)].is_open && number != successful_attempt)
                actions.emplace_back(Cancel{request.id(), number});
    state_.requests.erase(request.id());
}

}  // namespace sloestack::decision
