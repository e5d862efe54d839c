// What a router knows of one replica group: a primary that takes writes, and replicas that follow its log.
// Each part belongs to the rule that its comment names.
#pragma once

#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

#include "decaying_rate.h"
#include "position_history.h"
#include "sloestack/router.h"

namespace sloestack::decision {

// write_throttle: the proportional admission of writes while a replica lags.
struct WriteThrottleState {
    DecayingRate writes_offered;      // rejected ones included
    DecayingRate write_weight;        // priority weight of the writes that arrived
    DecayingRate stale_reads_weight;  // priority weight of the reads given up for want of a fresh replica
    Time active_until = -1;
    double admitted_ratio = 1;  // of the writes offered, while active
    double credit = 1;          // writes that may be admitted now
};

// read_admission: per request class.
struct ReadAdmissionState {
    DecayingRate offered;
    DecayingRate served_in_time;
};

struct ReplicaGroup {
    int id = 0;
    std::vector<EndpointId> members;  // its endpoints, sorted by id; removed ones until they are forgotten

    // primary_tracker
    std::optional<EndpointId> primary;
    Time primary_position = -1;  // the newest position that a primary has reported
    PositionHistory primary_history;
    Time primary_lost_at = -1;
    Time candidate_tried_at = -1;  // when a write last went to an endpoint that may be the primary
    Time health_checked_at = -1;
    Time last_commit_at = -1;  // when a write was last answered

    // read_consistency: sessions without a token are held to this position.
    Time default_session_position = 0;

    WriteThrottleState throttle;
    std::vector<ReadAdmissionState> read_admission;  // by class

    // slow_start
    double work_per_endpoint = 0;  // seconds of work per second that a warm endpoint does for this router
    Time work_rated_at = 0;

    // pending_queue
    std::vector<std::deque<RequestId>> queues;  // by class
    bool has_queued_requests() const {
        return std::any_of(queues.begin(), queues.end(), [](const auto& queue) { return !queue.empty(); });
    }
};

}  // namespace sloestack::decision
