// Who the primary of each group is: learned from what endpoints report of themselves and, before that, from
// lists; and how a new one is found while none is known, by health checks and by single trial writes.
#pragma once

#include "retry_policy.h"
#include "router_state.h"
#include "slow_start.h"

namespace sloestack::decision {

class PrimaryTracker {
public:
    PrimaryTracker(RouterState& state, const RetryPolicy& retry_policy, const SlowStart& slow_start);

    // The group's primary for requests: none while its whole zone is silent. It may well be there still, and
    // is used again as soon as the zone is heard.
    Endpoint* usable_primary(const ReplicaGroup& group) const;
    // Takes in what an endpoint has reported of its role and its position.
    void on_status(Endpoint& endpoint, const ReplicationStatus& status, Actions& actions);
    // The group has no known primary any more; `why` goes to the log.
    void lose(ReplicaGroup& group, const char* why, Actions& actions);
    // An endpoint that may be the primary, for one write now and then; the other endpoints decline it.
    // nullptr where none is due.
    Endpoint* trial_candidate(ReplicaGroup& group, const Request& request);

    // On a group's first use: checks each endpoint or, where endpoints check reads themselves, each with a
    // probability that makes about 6 checks over all routers.
    void on_first_use(ReplicaGroup& group, Actions& actions);
    // Checks all members again where no primary is confirmed; `is_confirmed` says whether one is.
    void renew_health_checks(ReplicaGroup& group, bool is_confirmed, Actions& actions);

private:
    bool may_be_primary(const Endpoint& endpoint) const;
    // Checks each member with that probability: of a budget for all routers each has a share, which is mostly
    // less than one check.
    void health_check_members(ReplicaGroup& group, double probability, Actions& actions);
    void on_primary_reported(Endpoint& endpoint, ReplicaGroup& group, const ReplicationStatus& status,
                             Actions& actions);

    RouterState& state_;
    const RetryPolicy& retry_policy_;
    const SlowStart& slow_start_;
    Micros health_check_interval_us_;
    double first_check_probability_ = 1;
};

}  // namespace sloestack::decision
