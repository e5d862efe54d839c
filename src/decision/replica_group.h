// State of one replica group: a primary that takes writes, and replicas that apply its log. Each part is
// maintained by the component that its comment names.
#pragma once

#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

#include "decaying_rate.h"
#include "position_history.h"
#include "sloestack/router.h"

namespace sloestack::decision {

// Maintained by write_throttle.
struct WriteThrottleState {
    DecayingRate writes_offered;      // writes that arrived, including rejected ones
    DecayingRate write_weight;        // priority weight of these writes
    DecayingRate stale_reads_weight;  // priority weight of the reads given up as too stale
    Time active_until = -1;
    double admitted_ratio = 1;  // share of the offered writes that is admitted while active
    double credit = 1;          // writes that may be admitted now
};

// Maintained by read_admission, per request class.
struct ReadAdmissionState {
    DecayingRate offered;
    DecayingRate served_in_time;
};

struct ReplicaGroup {
    int id = 0;
    std::vector<EndpointId> endpoint_ids;  // sorted; removed endpoints included until they are erased

    // Maintained by primary_tracker.
    std::optional<EndpointId> primary;
    Time primary_position = -1;  // newest position that a primary has reported
    PositionHistory primary_history;
    Time primary_lost_at = -1;
    Time last_trial_write_at = -1;  // when a write was last forwarded to search for the primary
    Time health_checked_at = -1;
    Time last_commit_at = -1;  // when a write last succeeded; maintained by the router

    // Maintained by read_consistency: the position required by session reads without a token.
    Time default_session_position = 0;

    WriteThrottleState throttle;
    std::vector<ReadAdmissionState> read_admission;  // by class index

    // Maintained by slow_start.
    // Seconds of work per second that a warm endpoint completes for this router.
    double work_per_endpoint = 0;
    Time work_updated_at = 0;

    // Maintained by pending_queue.
    std::vector<std::deque<RequestId>> queues;  // by class index
    bool has_queued_requests() const {
        return std::any_of(queues.begin(), queues.end(), [](const auto& queue) { return !queue.empty(); });
    }
};

}  // namespace sloestack::decision
