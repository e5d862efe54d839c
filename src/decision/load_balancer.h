// Selects an endpoint for a request: from the endpoints that are eligible and have capacity left, by a random
// draw weighted by latency and work in flight.
//
// The capacity of an endpoint is this router's own estimate: the work that the endpoint has lately completed
// for it, over the time that a request may wait. A minimum capacity always remains, so that the router keeps
// getting responses to learn from.
#pragma once

#include "outlier_detection.h"
#include "primary_tracker.h"
#include "read_consistency.h"
#include "retry_policy.h"
#include "router_state.h"
#include "slow_start.h"

namespace sloestack::decision {

// `endpoint` is null if no endpoint can take the request now.
struct EndpointChoice {
    Endpoint* endpoint = nullptr;
    bool is_trial = false;  // the endpoint is ejected; the attempt is given a short time-out
};

class LoadBalancer {
public:
    LoadBalancer(RouterState& state, const RetryPolicy& retry_policy, const SlowStart& slow_start,
                 const ReadConsistency& read_consistency, PrimaryTracker& primary_tracker,
                 OutlierDetection& outlier_detection);

    // Selects an endpoint; the caller forwards the request. If there is none, sets the request's
    // `blocked_reason`. Draws random numbers, refills slow-start budgets and may schedule the next trial.
    EndpointChoice choose(Request& request);

private:
    struct ReadCandidates;
    // Result of evaluating one endpoint for a read: not usable now, part of the weighted draw, to be used
    // without a draw, or to be used for a trial request.
    enum class Evaluation { skipped, weighted, chosen, trial };

    EndpointChoice choose_for_write(ReplicaGroup& group, Request& request);
    EndpointChoice choose_for_read(ReplicaGroup& group, Request& request);
    EndpointChoice choose_from(bool in_subset, ReplicaGroup& group, Request& request,
                               ReadCandidates& candidates);
    Evaluation evaluate(Endpoint& endpoint, ReplicaGroup& group, Request& request,
                        ReadCandidates& candidates);
    bool is_eligible(Endpoint& endpoint, Request& request);
    bool is_congested(const Endpoint& endpoint, const Request& request) const;
    bool can_serve_read(Endpoint& endpoint, const Request& request, bool is_primary, bool is_congested);
    Evaluation evaluate_ejected(Endpoint& endpoint, const ReplicaGroup& group, Request& request);
    // Whether the request fits into `capacity_share` of the endpoint's capacity for this router.
    bool has_capacity(Endpoint& endpoint, const Request& request, double capacity_share);
    double draw_weight(const Endpoint& endpoint, const Request& request, bool is_primary) const;

    RouterState& state_;
    const RetryPolicy& retry_policy_;
    const SlowStart& slow_start_;
    const ReadConsistency& read_consistency_;
    PrimaryTracker& primary_tracker_;
    OutlierDetection& outlier_detection_;
};

}  // namespace sloestack::decision
