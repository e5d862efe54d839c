// Requests that wait for capacity. Within a class they are forwarded in order of arrival; classes are served
// in order of priority weight per work. A request that has waited too long is given up.
#pragma once

#include "deadline_queue.h"
#include "load_balancer.h"
#include "primary_tracker.h"
#include "request_lifecycle.h"
#include "retry_policy.h"
#include "router_state.h"

namespace sloestack::decision {

class PendingQueue {
public:
    // `deadlines` receives the times at which requests are to be given up at once.
    PendingQueue(RouterState& state, LoadBalancer& load_balancer, const RetryPolicy& retry_policy,
                 const PrimaryTracker& primary_tracker, RequestLifecycle& lifecycle, DeadlineQueue& deadlines)
        : state_(state),
          load_balancer_(load_balancer),
          retry_policy_(retry_policy),
          primary_tracker_(primary_tracker),
          lifecycle_(lifecycle),
          deadlines_(deadlines) {}

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
    const RetryPolicy& retry_policy_;
    const PrimaryTracker& primary_tracker_;
    RequestLifecycle& lifecycle_;
    DeadlineQueue& deadlines_;
};

}  // namespace sloestack::decision
