// What follows when a whole zone falls silent: reads that wait there are hedged elsewhere, and single health
// checks find out when it is back. Its endpoints are used again as soon as one of them answers.
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

    // Looks for zones that have fallen silent and checks those that are; without health checks none ever is.
    void update(Actions& actions);

private:
    std::vector<ZoneHealth::PendingAttempt> pending_attempts() const;
    // Each hedged request is paid for like any further attempt.
    void hedge_reads_of(int zone, Actions& actions);
    bool waits_in(const Request& request, int zone) const;
    void check_one_endpoint_of(int zone, Actions& actions);

    RouterState& state_;
    LoadBalancer& load_balancer_;
    RequestLifecycle& lifecycle_;
    RetryBudget& retry_budget_;
};

}  // namespace sloestack::decision
