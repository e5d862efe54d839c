#include "load_balancer.h"

#include <algorithm>
#include <cmath>

namespace sloestack::decision {
namespace {

// Share of the latency objective that requests may wait in an endpoint's queue.
constexpr double kQueueingObjectiveRatio = 0.33;
// Minimum capacity assumed for an endpoint, in requests in flight of all routers together. Each router gets
// an equal share, but at least kMinRouterRequests: without any responses it could not estimate the capacity.
constexpr double kMinFleetRequests = 12;
constexpr double kMinRouterRequests = 2;
// Share of the primary's capacity that reads other than linearizable ones may use; the rest is for writes.
constexpr double kPrimaryReadCapacityShare = 0.5;
constexpr double kPrimaryReadWeight = 0.5;  // weight of the primary in the draw for reads
constexpr double kOtherZoneWeight = 0.5;
// An endpoint is congested for a request if the expected latency reaches this share of its latency objective.
constexpr double kCongestedObjectiveRatio = 0.5;
// Reads of Consistency::any whose baseline latency is this multiple of the shortest one are long reads, which
// are concentrated on few endpoints.
constexpr double kLongReadFactor = 2.5;
constexpr double kDrawExponent = 2;  // greater values prefer the endpoints of lowest cost more strongly

// Rank of a rejection reason. If several endpoints are blocked for different reasons, the one of highest rank
// is reported: that of the endpoint which came closest to being used.
int precedence(RejectionReason reason) {
    switch (reason) {
        case RejectionReason::no_eligible_endpoint:
            return 1;
        case RejectionReason::ejected:
            return 2;
        case RejectionReason::slow_start:
            return 3;
        case RejectionReason::at_capacity:
            return 4;
        case RejectionReason::too_stale:
            return 5;
        default:
            return 0;  // not a reason of a single endpoint
    }
}

void record_blocked_reason(Request& request, RejectionReason reason) {
    if (precedence(reason) > precedence(request.blocked_reason)) request.blocked_reason = reason;
}

}  // namespace

// Candidates for a read, collected while the endpoints are evaluated.
struct LoadBalancer::ReadCandidates {
    bool is_long_read = false;  // uses the first endpoint that is not congested, without a draw
    Endpoint* sampled_endpoint = nullptr;
    Endpoint* least_congested = nullptr;  // of the congested ones; for long reads
    double total_weight = 0;              // of all endpoints in the draw so far

    void record_congested(Endpoint& endpoint, Time now) {
        if (!least_congested || latency_ratio(endpoint, now) < latency_ratio(*least_congested, now))
            least_congested = &endpoint;
    }
};

LoadBalancer::LoadBalancer(RouterState& state, const RetryPolicy& retry_policy, const SlowStart& slow_start,
                           const ReadConsistency& read_consistency, PrimaryTracker& primary_tracker,
                           OutlierDetection& outlier_detection)
    : state_(state),
      retry_policy_(retry_policy),
      slow_start_(slow_start),
      read_consistency_(read_consistency),
      primary_tracker_(primary_tracker),
      outlier_detection_(outlier_detection) {}

EndpointChoice LoadBalancer::choose(Request& request) {
    auto& group = state_.group(request.arrival.replica_group);
    if (state_.class_of(request).is_write) return choose_for_write(group, request);
    auto* primary = primary_tracker_.usable_primary(group);
    const bool needs_primary = state_.class_of(request).consistency == Consistency::linearizable && primary &&
                               !primary->outlier.is_ejected && read_consistency_.trusts_primary(*primary);
    if (needs_primary && retry_policy_.may_forward_to(request, *primary, state_.now) &&
        has_capacity(*primary, request, 1))
        return {primary};
    return choose_for_read(group, request);
}

EndpointChoice LoadBalancer::choose_for_write(ReplicaGroup& group, Request& request) {
    request.blocked_reason = RejectionReason::no_primary;
    auto* primary = primary_tracker_.usable_primary(group);
    if (!primary) return {primary_tracker_.trial_candidate(group, request)};
    if (!retry_policy_.may_forward_to(request, *primary, state_.now)) return {};
    if (has_capacity(*primary, request, 1)) return {primary};
    request.blocked_reason = slow_start_.is_active(*primary, state_.now) ? RejectionReason::slow_start
                                                                         : RejectionReason::at_capacity;
    return {};
}

EndpointChoice LoadBalancer::choose_for_read(ReplicaGroup& group, Request& request) {
    request.blocked_reason = RejectionReason::no_eligible_endpoint;
    ReadCandidates candidates;
    candidates.is_long_read =
        state_.class_of(request).consistency == Consistency::any &&
        state_.baseline_us(request) > kLongReadFactor * state_.latency.min_baseline_us();
    // Endpoints outside this router's subset are used only if none of the subset can take the request.
    auto choice = choose_from(true, group, request, candidates);
    if (!choice.endpoint) choice = choose_from(false, group, request, candidates);
    return choice;
}

EndpointChoice LoadBalancer::choose_from(bool in_subset, ReplicaGroup& group, Request& request,
                                         ReadCandidates& candidates) {
    for (const auto id : group.endpoint_ids) {
        auto& endpoint = state_.endpoints.at(id);
        if (endpoint.is_in_subset != in_subset) continue;
        const auto evaluation = evaluate(endpoint, group, request, candidates);
        if (evaluation == Evaluation::chosen) return {&endpoint};
        if (evaluation == Evaluation::trial) return {&endpoint, true};
    }
    return {candidates.least_congested ? candidates.least_congested : candidates.sampled_endpoint};
}

LoadBalancer::Evaluation LoadBalancer::evaluate(Endpoint& endpoint, ReplicaGroup& group, Request& request,
                                                ReadCandidates& candidates) {
    if (!is_eligible(endpoint, request)) return Evaluation::skipped;
    if (endpoint.outlier.is_ejected) return evaluate_ejected(endpoint, group, request);
    const bool is_primary = group.primary == endpoint.id;
    const bool is_congested = this->is_congested(endpoint, request);
    if (!can_serve_read(endpoint, request, is_primary, is_congested)) {
        const bool is_starting = slow_start_.is_active(endpoint, state_.now);
        record_blocked_reason(request,
                              is_starting ? RejectionReason::slow_start : RejectionReason::at_capacity);
        return Evaluation::skipped;
    }
    if (candidates.is_long_read && !is_primary) {
        if (!is_congested) return Evaluation::chosen;
        candidates.record_congested(endpoint, state_.now);
    }
    const double weight = draw_weight(endpoint, request, is_primary);
    candidates.total_weight += weight;
    if (state_.random.unit() * candidates.total_weight <= weight) candidates.sampled_endpoint = &endpoint;
    return Evaluation::weighted;
}

bool LoadBalancer::is_congested(const Endpoint& endpoint, const Request& request) const {
    const double expected_us = latency_ratio(endpoint, state_.now) * state_.baseline_us(request);
    const double objective_us = as_double(state_.class_of(request).latency_objective_us);
    return expected_us >= kCongestedObjectiveRatio * objective_us;
}

// The primary's capacity is reserved for writes and for linearizable reads, which need it; other reads may
// use a share of it.
bool LoadBalancer::can_serve_read(Endpoint& endpoint, const Request& request, bool is_primary,
                                  bool is_congested) {
    const bool is_reserved_for_writes =
        is_primary && state_.class_of(request).consistency != Consistency::linearizable;
    if (!is_reserved_for_writes) return has_capacity(endpoint, request, 1);
    if (is_congested || slow_start_.is_active(endpoint, state_.now)) return false;
    return has_capacity(endpoint, request, kPrimaryReadCapacityShare);
}

bool LoadBalancer::is_eligible(Endpoint& endpoint, Request& request) {
    if (!retry_policy_.may_forward_to(request, endpoint, state_.now)) return false;
    const bool was_tried_last = !request.attempts.empty() && request.attempts.back().endpoint == endpoint.id;
    if (was_tried_last) return false;
    if (!read_consistency_.is_satisfied_by(endpoint, request, state_.now)) {
        if (endpoint.outlier.is_ejected) return false;
        record_blocked_reason(request, has_capacity(endpoint, request, 1) ? RejectionReason::too_stale
                                                                          : RejectionReason::at_capacity);
        return false;
    }
    if (!state_.zones.is_silent(endpoint.zone)) return true;
    record_blocked_reason(request, RejectionReason::ejected);
    return false;
}

LoadBalancer::Evaluation LoadBalancer::evaluate_ejected(Endpoint& endpoint, const ReplicaGroup& group,
                                                        Request& request) {
    record_blocked_reason(request, RejectionReason::ejected);
    if (!slow_start_.admits(endpoint, group, state_.work_s(request), state_.now, state_.random))
        return Evaluation::skipped;
    return outlier_detection_.begin_trial(endpoint, request) ? Evaluation::trial : Evaluation::skipped;
}

bool LoadBalancer::has_capacity(Endpoint& endpoint, const Request& request, double capacity_share) {
    const double work_s = state_.work_s(request);
    const double objective_us = as_double(state_.class_of(request).latency_objective_us);
    const double wait_s =
        (state_.baseline_us(request) + kQueueingObjectiveRatio * objective_us) / kMicrosPerSecond;
    const double min_capacity_s =
        work_s * std::max(kMinRouterRequests, kMinFleetRequests / state_.settings.router_count);
    const double capacity_s = min_capacity_s + endpoint.work_done.per_second(state_.now) * wait_s;
    return endpoint.in_flight_work_s + work_s <= capacity_s * capacity_share &&
           slow_start_.admits(endpoint, state_.existing_group(endpoint.replica_group), work_s, state_.now,
                              state_.random);
}

double LoadBalancer::draw_weight(const Endpoint& endpoint, const Request& request, bool is_primary) const {
    const double load_s = endpoint.in_flight_work_s + state_.work_s(request);
    const double cost =
        latency_ratio(endpoint, state_.now) * load_s / slow_start_.capacity_ratio(endpoint, state_.now);
    double weight = 1 / std::pow(cost, kDrawExponent);
    if (is_primary) weight *= kPrimaryReadWeight;
    const bool is_other_zone = endpoint.zone != state_.settings.zone;
    if (state_.settings.cross_zone_cost > 0 && is_other_zone) weight *= kOtherZoneWeight;
    return weight;
}

}  // namespace sloestack::decision
