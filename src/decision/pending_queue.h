// Requests that wait for capacity. Within a class they are forwarded in order of arrival; classes are served
// in order of priority weight per work. A request that has waited too long is given up.
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

    // Forwards the request, queues it, or gives it up if it could not be served in time. The request may be
    // destroyed.
    void dispatch(Request& request, Actions& actions);
    // Forwards queued requests that an endpoint can take now, and gives up those that have waited too long.
    void forward_queued(Actions& actions);

private:
    void enqueue(Request& request, Actions& actions);
    bool is_queue_full(const ReplicaGroup& group, const Request& request, bool has_primary) const;
    void forward_queued_of_class(std::deque<RequestId>& queue, Actions& actions);
    // Forwards or gives up the request if possible. Returns true if it is to be removed from its queue.
    bool process_queued_request(RequestId id, Actions& actions);

    RouterState& state_;
    LoadBalancer& load_balancer_;
    const PrimaryTracker& primary_tracker_;
    RequestLifecycle& lifecycle_;
};

}  // namespace sloestack::decision
