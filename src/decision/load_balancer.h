// The choice of an endpoint for a request: who may answer it, who has capacity left, and among those a draw
// weighted by latency and work in flight.
//
// Capacity in flight is a router's own estimate: what the endpoint has lately done for it in the time that a
// request may wait, and never less than a floor, without which it would learn nothing of the endpoint.
#pragma once

#include "outlier_detection.h"
#include "primary_tracker.h"
#include "read_consistency.h"
#include "retry_policy.h"
#include "router_state.h"
#include "slow_start.h"

namespace sloestack::decision {

// An endpoint for a request; none where nobody can take it now.
struct EndpointChoice {
    Endpoint* endpoint = nullptr;
    bool is_trial = false;  // of an ejected endpoint: to be given up early
};

class LoadBalancer {
public:
    LoadBalancer(RouterState& state, const RetryPolicy& retry_policy, const SlowStart& slow_start,
                 const ReadConsistency& read_consistency, PrimaryTracker& primary_tracker,
                 OutlierDetection& outlier_detection);

    // Where it finds none, the request's blocked_reason says why.
    EndpointChoice choose(Request& request);

private:
    struct ReadCandidates;
    enum class Verdict { skipped, weighed, taken, trial };

    EndpointChoice choose_for_write(ReplicaGroup& group, Request& request);
    EndpointChoice choose_for_read(ReplicaGroup& group, Request& request);
    EndpointChoice choose_from(bool in_subset, ReplicaGroup& group, Request& request,
                               ReadCandidates& candidates);
    Verdict consider(Endpoint& endpoint, ReplicaGroup& group, Request& request, ReadCandidates& candidates);
    bool is_eligible(Endpoint& endpoint, Request& request);
    bool is_crowded(const Endpoint& endpoint, const Request& request) const;
    bool may_take_read(Endpoint& endpoint, const Request& request, bool is_primary, bool is_crowded);
    Verdict consider_ejected(Endpoint& endpoint, const ReplicaGroup& group, Request& request);
    // Whether the endpoint has `share` of its capacity for this router to spare for the request.
    bool has_capacity(Endpoint& endpoint, const Request& request, double share);
    double draw_weight(const Endpoint& endpoint, const Request& request, bool is_primary) const;

    RouterState& state_;
    const RetryPolicy& retry_policy_;
    const SlowStart& slow_start_;
    const ReadConsistency& read_consistency_;
    PrimaryTracker& primary_tracker_;
    OutlierDetection& outlier_detection_;
};

}  // namespace sloestack::decision
