// Outlier detection: how much slower than usual each endpoint answers, and which endpoints are ejected since
// they have fallen silent or their connections break. An ejected endpoint gets single trial requests until it
// answers.
#pragma once

#include "primary_tracker.h"
#include "router_state.h"
#include "slow_start.h"

namespace sloestack::decision {

// The endpoint's smoothed latency over the usual one by now: what an answer said of it ages towards 1.
double latency_ratio(const Endpoint& endpoint, Time now);

class OutlierDetection {
public:
    OutlierDetection(RouterState& state, PrimaryTracker& primary_tracker)
        : state_(state), primary_tracker_(primary_tracker) {}

    // Takes in how an attempt in flight at the endpoint has ended.
    void on_attempt_ended(Endpoint& endpoint, const AttemptEnded& end, Actions& actions);
    // The endpoint has answered something: it and its zone are there.
    void on_answer(Endpoint& endpoint, Actions& actions);
    // Ejects those that have fallen silent.
    void eject_silent(Actions& actions);
    // Whether an ejected endpoint may be tried by this request; the next trial is due later then.
    bool begin_trial(Endpoint& endpoint, const Request& request);
    // Ejected, or in a silent zone, though it may be forwarded to.
    bool is_avoided(const Endpoint& endpoint) const;

private:
    enum class EjectionCause { silent, disconnected };

    void update_latency_ratio(Endpoint& endpoint, double ratio);
    void learn_latency(Endpoint& endpoint, const AttemptEnded& end, bool was_answered);
    bool is_silent(const Endpoint& endpoint) const;
    void eject(Endpoint& endpoint, EjectionCause cause, Actions& actions);
    void restore(Endpoint& endpoint, Actions& actions);

    RouterState& state_;
    PrimaryTracker& primary_tracker_;
};

}  // namespace sloestack::decision
