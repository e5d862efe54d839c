// Tracks the primary of each replica group, from the roles that endpoints report and, until then, from
// endpoint lists. While no primary is known, searches for it by health checks and by single trial writes.
#pragma once

#include "retry_policy.h"
#include "router_state.h"
#include "slow_start.h"

namespace sloestack::decision {

class PrimaryTracker {
public:
    PrimaryTracker(RouterState& state, const RetryPolicy& retry_policy, const SlowStart& slow_start);

    // Returns the group's primary; nullptr if none is known or its zone is silent. The primary of a silent
    // zone stays known and is used again when an endpoint of the zone responds.
    Endpoint* usable_primary(const ReplicaGroup& group) const;
    // Records the role and the position that an endpoint has reported.
    void on_status(Endpoint& endpoint, const ReplicationStatus& status, Actions& actions);
    // Marks the group's primary as unknown. `reason` is appended to the log line.
    void clear_primary(ReplicaGroup& group, const char* reason, Actions& actions);
    // Returns an endpoint that may be the primary, for a trial write; endpoints other than the primary
    // decline it. Returns nullptr if no trial is due or no endpoint is suitable.
    Endpoint* trial_candidate(ReplicaGroup& group, const Request& request);

    // Starts health checks at a group's first use: of each endpoint or, if endpoints check positions
    // themselves, of each with a probability that makes about 6 checks by all routers together.
    void on_first_use(ReplicaGroup& group, Actions& actions);
    // Repeats the health checks of all endpoints while no primary is confirmed.
    void repeat_health_checks(ReplicaGroup& group, bool is_confirmed, Actions& actions);

private:
    bool may_be_primary(const Endpoint& endpoint) const;
    // Starts a health check of each endpoint with the given probability. The budget of all routers together
    // leaves most routers less than one check.
    void check_endpoints(ReplicaGroup& group, double probability, Actions& actions);
    void on_primary_reported(Endpoint& endpoint, ReplicaGroup& group, const ReplicationStatus& status,
                             Actions& actions);

    RouterState& state_;
    const RetryPolicy& retry_policy_;
    const SlowStart& slow_start_;
    Micros health_check_interval_us_;
    double first_check_probability_ = 1;
};

}  // namespace sloestack::decision
