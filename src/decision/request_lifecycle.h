// The only ways out of a request: every attempt, rejection, failure and cancellation passes here and is
// checked against the retry policy.
#pragma once

#include "read_admission.h"
#include "retry_policy.h"
#include "router_state.h"
#include "slow_start.h"

namespace sloestack::decision {

class RequestLifecycle {
public:
    RequestLifecycle(RouterState& state, const RetryPolicy& retry_policy, const SlowStart& slow_start)
        : state_(state), retry_policy_(retry_policy), slow_start_(slow_start) {}

    // Forwards the request; false where the retry policy forbids it. `timeout_us`: after it the attempt is
    // given up; 0 leaves it all the time that the request has.
    bool forward(Request& request, Endpoint& endpoint, Micros timeout_us, Actions& actions);
    // Rejects the request where that is the truth and fails it otherwise, and ends it. `retry_after_us` is
    // cut to what the settings allow. The request is destroyed.
    void reject(Request& request, Micros retry_after_us, RejectionReason reason, Actions& actions);
    // As reject(); without `retry_after_us`, Retry-After is drawn from 0.5 to 1.5 times that of the class.
    // Counts a read that found only stale replicas towards the write throttle. The request is destroyed.
    void give_up(Request& request, RejectionReason reason, Actions& actions, Micros retry_after_us = 0);
    // Ends the request. `answered_attempt` is the attempt that answered it, -1 where none did; the others are
    // cancelled. The request is destroyed: references to it are invalid afterwards.
    void close(const Request& request, int answered_attempt, Actions& actions);

private:
    RouterState& state_;
    const RetryPolicy& retry_policy_;
    const SlowStart& slow_start_;
};

}  // namespace sloestack::decision
