// Outlier detection: measures how slow each endpoint is relative to the baseline, and ejects endpoints that
// do not respond or whose connections break. An ejected endpoint gets single trial requests until it
// responds.
#pragma once

#include "primary_tracker.h"
#include "router_state.h"
#include "slow_start.h"

namespace sloestack::decision {

// Returns the endpoint's smoothed latency relative to the baseline; decays towards 1 since the last sample.
double latency_ratio(const Endpoint& endpoint, Time now);

class OutlierDetection {
public:
    OutlierDetection(RouterState& state, PrimaryTracker& primary_tracker)
        : state_(state), primary_tracker_(primary_tracker) {}

    // Removes the attempt from those in flight and records its outcome. Ignores attempts not in flight.
    void on_attempt_ended(Endpoint& endpoint, const AttemptEnded& end, Actions& actions);
    // Records a response of any kind: restores the endpoint if it is ejected, and its zone if it is silent.
    void on_response(Endpoint& endpoint, Actions& actions);
    // Ejects endpoints that do not respond to their attempts in flight.
    void eject_silent(Actions& actions);
    // Returns whether the request may be used as a trial request of the ejected endpoint. If so, schedules
    // the next trial.
    bool begin_trial(Endpoint& endpoint, const Request& request);
    // Whether the endpoint is ejected or in a silent zone, and neither draining nor removed.
    bool is_avoided(const Endpoint& endpoint) const;

private:
    enum class EjectionCause { silent, disconnected };

    void update_latency_ratio(Endpoint& endpoint, double ratio);
    void record_latency(Endpoint& endpoint, const AttemptEnded& end, bool has_response);
    bool is_silent(const Endpoint& endpoint) const;
    void eject(Endpoint& endpoint, EjectionCause cause, Actions& actions);
    void restore(Endpoint& endpoint, Actions& actions);

    RouterState& state_;
    PrimaryTracker& primary_tracker_;
};

}  // namespace sloestack::decision
