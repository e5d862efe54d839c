// Slow start: limits the work forwarded to an endpoint that has recently started. Its capacity grows linearly
// from Settings::slow_start_min_capacity_ratio to 1 over slow_start_duration_us; the limit holds for all
// routers together.
//
// Each router has its own budget, refilled at its share of the endpoint's capacity. If the share is less than
// one request at a time, the routers take turns: each starts with a random part of one request's work, and
// budget that is not used soon expires, so that the shares of many routers do not add up to a burst. An
// endpoint may stay idle if requests are rare.
#pragma once

#include "endpoint.h"
#include "random_source.h"
#include "replica_group.h"
#include "router_state.h"

namespace sloestack::decision {

class SlowStart {
public:
    explicit SlowStart(const Settings& settings) : settings_(settings) {}

    // Begins the slow start of an endpoint that has started, or is assumed to have started, at `started_at`.
    static void begin(Endpoint& endpoint, Time started_at);
    // Returns the endpoint's current capacity relative to its full one; 1 after the slow start.
    double capacity_ratio(const Endpoint& endpoint, Time now) const;
    bool is_active(const Endpoint& endpoint, Time now) const { return capacity_ratio(endpoint, now) < 1; }
    // Refills the endpoint's budget, and returns whether `work_s` seconds of work may be forwarded now.
    // Always true if slow start is not active.
    bool admits(Endpoint& endpoint, const ReplicaGroup& group, double work_s, Time now,
                RandomSource& random) const;
    // Deducts the forwarded work of `work_s` seconds from the endpoint's budget.
    void spend(Endpoint& endpoint, double work_s, Time now) const;

private:
    const Settings& settings_;
};

// Updates, every 250 ms, the work that a warm endpoint of the group completes for this router, which is a
// lower bound of its capacity. The estimate decreases only while all endpoints are warm and not ejected: in
// an outage endpoints whose failure is not detected yet complete no work, which does not mean that they
// have no capacity.
void update_work_per_endpoint(ReplicaGroup& group, const RouterState& state, const SlowStart& slow_start);

}  // namespace sloestack::decision
