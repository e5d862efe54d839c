// Requests that wait for capacity: in order of arrival within a class, classes in order of priority weight
// for the work, each up to a time after which it is given up.
#pragma once

#include "load_balancer.h"
#include "primary_tracker.h"
#include "request_lifecycle.h"
#include "router_state.h"

namespace sloestack::decision {

class PendingQueue {
public:
    PendingQueue(RouterState& state, LoadBalancer& load_balancer, const PrimaryTracker& primary_tracker,
                 RequestLifecycle& lifecycle)
        : state_(state),
          load_balancer_(load_balancer),
          primary_tracker_(primary_tracker),
          lifecycle_(lifecycle) {}

    // Forwards the request now, queues it, or gives it up where waiting is no use.
    void dispatch(Request& request, Actions& actions);
    // Forwards what can be forwarded by now, and gives up what has waited for too long.
    void forward_queued(Actions& actions);

private:
    void enqueue(Request& request, Actions& actions);
    bool is_overfull(const ReplicaGroup& group, const Request& request, bool has_primary) const;
    void forward_queued_of_class(std::deque<RequestId>& queue, Actions& actions);
    // True where the request needs no place in its queue any more.
    bool leaves_queue(RequestId id, Actions& actions);

    RouterState& state_;
    LoadBalancer& load_balancer_;
    const PrimaryTracker& primary_tracker_;
    RequestLifecycle& lifecycle_;
};

}  // namespace sloestack::decision
