// State of one endpoint. Each part is maintained by the component that its comment names; other components
// only read it.
#pragma once

#include <map>
#include <utility>

#include "decaying_rate.h"
#include "position_history.h"
#include "sloestack/router.h"

namespace sloestack::decision {

// An attempt in flight.
struct InFlightAttempt {
    Time sent_at = 0;
    double expected_latency_us = 0;
    double work_s = 0;  // seconds of work; see LatencyBaseline::work_s
};

// Maintained by replication_lag.
struct ReplicationState {
    Time position = -1;     // newest reported position; -1: none
    Time reported_at = -1;  // when it was reported
    Micros lag_us = 0;      // behind the primary at that time
    PositionHistory history;
};

// Maintained by outlier_detection.
struct OutlierState {
    double latency_ratio = 1;  // smoothed latency relative to the baseline of the request class
    Time latency_updated_at = 0;
    Time last_response_at = -1;
    int consecutive_disconnects = 0;  // resets and failed connects since the last response
    int unanswered_attempts = 0;      // time-outs and failed connects since the last response
    bool is_ejected = false;
    Time ejected_at = 0;
    Time next_trial_at = 0;
    Micros trial_interval_us = 0;
};

// Maintained by slow_start.
struct SlowStartState {
    Time started_at = -1;  // -1: no recent start is known
    Time credit_updated_at = -1;
    double credit_s = 0;  // budget: seconds of work that may be forwarded now
};

struct Endpoint {
    EndpointId id = 0;
    int replica_group = 0;
    int zone = 0;

    // Maintained by endpoint_registry.
    bool is_draining = false;
    bool is_in_subset = true;  // preferred over endpoints outside this router's subset
    // When discovery first reported it draining, or removed if removal is not advisory; -1: in service.
    Time removal_notified_at = -1;
    Time listed_started_at = 0;  // by the endpoint's own wall clock; 0: no start was listed

    // Maintained by primary_tracker.
    Role role = Role::unknown;
    Time role_at = -1;  // when the role was reported

    ReplicationState replication;
    OutlierState outlier;
    SlowStartState slow_start;

    // Maintained by request_lifecycle and outlier_detection.
    std::map<std::pair<RequestId, int>, InFlightAttempt> in_flight;  // by request and attempt number
    double in_flight_work_s = 0;
    DecayingRate work_done{kLongRateWindowUs};  // seconds of work completed successfully

    // Whether it is draining, or removed and removal is not advisory: no new attempts may be forwarded to it.
    bool is_leaving() const { return removal_notified_at >= 0; }
    // Whether it is leaving because it was removed.
    bool is_removed() const { return is_leaving() && !is_draining; }
};

}  // namespace sloestack::decision
