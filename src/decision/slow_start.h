// Slow start of an endpoint that has lately started: its capacity grows from a ratio of the settings to all
// of it, and work flows to it at that pace, over all routers together.
//
// Each router has a budget of its own, refilled at its share of what the endpoint can take. Where that is
// less than one request at a time routers take turns: a router starts with a random part of a request's work,
// and a budget that is not used soon is lost, so that the small shares of many routers do not add up to a
// burst. An endpoint may stay idle where requests are rare.
#pragma once

#include "endpoint.h"
#include "random_source.h"
#include "replica_group.h"
#include "router_state.h"

namespace sloestack::decision {

class SlowStart {
public:
    explicit SlowStart(const Settings& settings) : settings_(settings) {}

    // The endpoint has started, or is taken to have, at `started_at`.
    static void begin(Endpoint& endpoint, Time started_at);
    // Of its full capacity what the endpoint can take now: 1 once it is warm.
    double capacity_ratio(const Endpoint& endpoint, Time now) const;
    bool is_active(const Endpoint& endpoint, Time now) const { return capacity_ratio(endpoint, now) < 1; }
    // Refills the budget; true where `work_s` seconds of work may be forwarded now. Always so for a warm one.
    bool admits(Endpoint& endpoint, const ReplicaGroup& group, double work_s, Time now,
                RandomSource& random) const;
    // That much work has been forwarded.
    void spend(Endpoint& endpoint, double work_s, Time now) const;

private:
    const Settings& settings_;
};

// Renews, every 250 ms, what a warm endpoint of the group does for this router: an estimate from below of its
// capacity. It sinks only while all members are warm and not ejected: in an outage endpoints that are not yet
// known to have failed do nothing, which says nothing of what an endpoint can do.
void renew_work_per_endpoint(ReplicaGroup& group, const RouterState& state, const SlowStart& slow_start);

}  // namespace sloestack::decision
