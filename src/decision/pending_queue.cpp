#include "pending_queue.h"

#include <algorithm>

namespace sloestack::decision {
namespace {

constexpr double kMaxWaitObjectiveRatio = 0.25;  // longest wait, as a share of the latency objective
// Multiple of the baseline latency that is kept free before the deadline.
constexpr double kServiceTimeFactor = 1.5;
// Share of a write's time to its deadline in which a new primary must be able to clear the queue.
constexpr double kClearingTimeShare = 0.5;
constexpr double kMinQueuedWrites = 10;  // always allowed, because work_per_endpoint may not be known yet
constexpr int kMaxScannedRequests = 64;  // per step, replica group and class

}  // namespace

void PendingQueue::dispatch(Request& request, Actions& actions) {
    const auto choice = load_balancer_.choose(request);
    Micros timeout_us = 0;
    if (choice.is_trial)
        timeout_us = std::max<Micros>(state_.class_of(request).latency_objective_us / 2,
                                      as_micros(2 * state_.baseline_us(request)));
    if (choice.endpoint && lifecycle_.forward(request, *choice.endpoint, timeout_us, actions)) return;
    enqueue(request, actions);
}

void PendingQueue::enqueue(Request& request, Actions& actions) {
    if (request.is_queued) return;
    auto& group = state_.group(request.arrival.replica_group);
    const auto& settings = state_.class_of(request);
    const bool has_primary = primary_tracker_.usable_primary(group) != nullptr;
    const auto service_us = as_micros(kServiceTimeFactor * state_.baseline_us(request));
    const auto max_wait_us = as_micros(kMaxWaitObjectiveRatio * as_double(settings.latency_objective_us));
    request.queued_until = request.arrival.deadline - service_us;
    if (!settings.is_write || has_primary) {
        const Time wait_start = std::max(request.arrived_at, state_.now - max_wait_us);
        request.queued_until = std::min(request.queued_until, wait_start + max_wait_us);
    }
    if (request.queued_until <= state_.now || is_queue_full(group, request, has_primary))
        return lifecycle_.give_up(request, request.blocked_reason, actions);
    request.is_queued = true;
    // Once its idempotency window is over, a request that may have run cannot be forwarded again.
    if (const auto window_left_us = retry_policy_.idempotency_window_left_us(request, state_.now))
        deadlines_.add(state_.now + *window_left_us, request.id());
    group.queues[request.class_index()].push_back(request.id());
}

// Without a primary, the queue of writes is limited to what a new primary can clear in time, estimated by
// ReplicaGroup::work_per_endpoint.
bool PendingQueue::is_queue_full(const ReplicaGroup& group, const Request& request, bool has_primary) const {
    if (!state_.class_of(request).is_write || has_primary) return false;
    const double time_left_us = as_double(request.arrival.deadline - state_.now);
    const double clearable_us = group.work_per_endpoint * kClearingTimeShare * time_left_us;
    const double baseline_us = state_.baseline_us(request);
    const auto queued = static_cast<double>(group.queues[request.class_index()].size());
    return queued * baseline_us > clearable_us + kMinQueuedWrites * baseline_us;
}

void PendingQueue::forward_queued(Actions& actions) {
    const auto order = state_.latency.classes_by_weight_per_work();
    for (auto& [id, group] : state_.groups)
        for (const auto class_index : order) forward_queued_of_class(group.queues[class_index], actions);
}

void PendingQueue::forward_queued_of_class(std::deque<RequestId>& queue, Actions& actions) {
    std::size_t position = 0;
    for (int scanned = 0; position < queue.size() && scanned < kMaxScannedRequests; ++scanned) {
        if (process_queued_request(queue[position], actions))
            queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(position));
        else
            ++position;
    }
}

bool PendingQueue::process_queued_request(RequestId id, Actions& actions) {
    auto* request = state_.find_request(id);
    if (!request || !request->is_queued) return true;
    if (state_.now >= request->queued_until) {
        lifecycle_.give_up(*request, request->blocked_reason, actions);
        return true;
    }
    const auto choice = load_balancer_.choose(*request);
    return choice.endpoint && lifecycle_.forward(*request, *choice.endpoint, 0, actions);
}

}  // namespace sloestack::decision
