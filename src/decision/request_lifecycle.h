// Forwards and ends requests. All Forward, Reject, Fail and Cancel actions for known requests are emitted
// here, and are checked against the retry policy.
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

    // Forwards the request to the endpoint. Returns false if the retry policy forbids it. `timeout_us` limits
    // the attempt; 0: until the request's deadline.
    bool forward(Request& request, Endpoint& endpoint, Micros timeout_us, Actions& actions);
    // Ends the request: rejects it if the retry policy allows, otherwise fails it. `retry_after_us` is
    // limited by the settings. The request is destroyed.
    void reject(Request& request, Micros retry_after_us, RejectionReason reason, Actions& actions);
    // Ends the request like reject(). If `retry_after_us` is 0, the Retry-After is drawn from 0.5 to 1.5
    // times that of the class. A read that was blocked as too stale is counted for the write throttle. The
    // request is destroyed.
    void give_up(Request& request, RejectionReason reason, Actions& actions, Micros retry_after_us = 0);
    // Ends the request. `successful_attempt` is the attempt whose response the client got, -1 for none; other
    // attempts in flight are cancelled. The request is destroyed: references to it become invalid.
    void close(const Request& request, int successful_attempt, Actions& actions);

private:
    RouterState& state_;
    const RetryPolicy& retry_policy_;
    const SlowStart& slow_start_;
};

}  // namespace sloestack::decision
