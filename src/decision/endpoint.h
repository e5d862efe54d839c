// What a router knows of one endpoint. Each part belongs to the rule that its comment names; other rules read
// it through that rule.
#pragma once

#include <map>
#include <utility>

#include "decaying_rate.h"
#include "position_history.h"
#include "sloestack/router.h"

namespace sloestack::decision {

// An attempt that has been forwarded and has not ended.
struct InFlightAttempt {
    Time sent_at = 0;
    double expected_latency_us = 0;
    double work_s = 0;  // seconds of usual service of its class
};

// replication_lag: how far it has applied the log.
struct ReplicationState {
    Time position = -1;     // -1: never reported
    Time reported_at = -1;  // when the position was learned
    Micros lag_us = 0;      // behind the primary at that time
    PositionHistory history;
};

// outlier_detection: how it answers, and whether it is ejected.
struct OutlierState {
    double latency_ratio = 1;  // smoothed latency over the usual one of the request's class
    Time latency_updated_at = 0;
    Time answered_at = -1;
    int disconnects = 0;  // in a row: connections broken or not made since the last answer
    int unanswered = 0;   // attempts that timed out or did not connect since the last answer
    bool is_ejected = false;
    Time ejected_at = 0;
    Time next_trial_at = 0;
    Micros trial_interval_us = 0;
};

// slow_start: its warm-up after a start.
struct SlowStartState {
    Time started_at = -1;  // -1: not known to have started lately
    Time credited_at = -1;
    double credit_s = 0;  // seconds of work that may be forwarded now
};

struct Endpoint {
    EndpointId id = 0;
    int replica_group = 0;
    int zone = 0;

    // endpoint_registry
    bool is_draining = false;
    bool is_in_subset = true;  // used before the endpoints outside this router's subset
    Time removal_notified_at =
        -1;  // when it was first reported draining, or removed where removal is binding; -1: in service

    // primary_tracker
    Role role = Role::unknown;
    Time role_at = -1;  // when the role was learned

    ReplicationState replication;
    OutlierState outlier;
    SlowStartState slow_start;

    // load_balancer
    std::map<std::pair<RequestId, int>, InFlightAttempt> in_flight;  // by request and attempt number
    double in_flight_work_s = 0;
    DecayingRate work_done{kLongRateWindowUs};  // seconds of usual service completed

    // Discovery has reported it draining, or removed where removal is binding: nothing new may be forwarded
    // to it.
    bool is_leaving() const { return removal_notified_at >= 0; }
    // Removed, and not merely draining.
    bool is_removed() const { return is_leaving() && !is_draining; }
};

}  // namespace sloestack::decision
