// Failover from silent zones: reads in flight there are hedged in other zones, and single health checks
// detect when the zone is reachable again. Its endpoints are used again as soon as one of them responds.
#pragma once

#include "load_balancer.h"
#include "request_lifecycle.h"
#include "retry_policy.h"
#include "router_state.h"

namespace sloestack::decision {

class ZoneFailover {
public:
    ZoneFailover(RouterState& state, LoadBalancer& load_balancer, RequestLifecycle& lifecycle,
                 RetryBudget& retry_budget)
        : state_(state), load_balancer_(load_balancer), lifecycle_(lifecycle), retry_budget_(retry_budget) {}

    // Detects zones that have become silent, and starts health checks in silent zones. Does nothing unless
    // health checks are allowed, so that no zone is ever silent then.
    void update(Actions& actions);

private:
    std::vector<ZoneHealth::PendingAttempt> pending_attempts() const;
    // Hedges idempotent requests whose only attempt is in flight in the zone, within the retry budget.
    void hedge_reads_in(int zone, Actions& actions);
    bool is_waiting_in(const Request& request, int zone) const;
    void check_one_endpoint_in(int zone, Actions& actions);

    RouterState& state_;
    LoadBalancer& load_balancer_;
    RequestLifecycle& lifecycle_;
    RetryBudget& retry_budget_;
};

}  // namespace sloestack::decision
