#include "load_balancer.h"

#include <algorithm>
#include <cmath>

namespace sloestack::decision {
namespace {

constexpr double kQueueingObjectiveRatio =
    0.33;                                 // of the latency objective: the wait let build up at an endpoint
constexpr double kMinFleetRequests = 12;  // in flight at one endpoint, all routers together
constexpr double kMinRouterRequests = 2;  // and of one router: else it learns nothing of the endpoint
constexpr double kPrimaryReadCapacityShare =
    0.5;                                    // of a replica's capacity: what reads may use at the primary
constexpr double kPrimaryReadWeight = 0.5;  // in the draw: the primary is needed for writes
constexpr double kOtherZoneWeight = 0.5;
// Reads of any staleness that are expected to take longer go on to the next endpoint; of the objective.
constexpr double kCrowdedObjectiveRatio = 0.5;
// Reads of any staleness that usually take so many times the shortest class are kept on few endpoints.
constexpr double kLongReadFactor = 2.5;
constexpr double kDrawExponent = 2;  // sharpness of the draw by latency times work in flight

// Of the reasons of several endpoints one is reported: that of the endpoint which came closest to being used.
// In this order, from least to most telling.
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
            return 0;  // never a reason of a single endpoint
    }
}

void note_blocked(Request& request, RejectionReason reason) {
    if (precedence(reason) > precedence(request.blocked_reason)) request.blocked_reason = reason;
}

}  // namespace

// The endpoints that a read might go to, gathered while they are looked at.
struct LoadBalancer::ReadCandidates {
    bool is_long_read = false;  // fills up one endpoint after the other
    Endpoint* drawn = nullptr;
    Endpoint* least_slow = nullptr;  // of the crowded ones, for long reads
    double total_weight = 0;

    void note_crowded(Endpoint& endpoint, Time now) {
        if (!least_slow || latency_ratio(endpoint, now) < latency_ratio(*least_slow, now))
            least_slow = &endpoint;
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
    if (needs_primary && retry_policy_.may_use(request, *primary, state_.now) &&
        has_capacity(*primary, request, 1))
        return {primary};
    return choose_for_read(group, request);
}

EndpointChoice LoadBalancer::choose_for_write(ReplicaGroup& group, Request& request) {
    request.blocked_reason = RejectionReason::no_primary;
    auto* primary = primary_tracker_.usable_primary(group);
    if (!primary) return {primary_tracker_.trial_candidate(group, request)};
    if (!retry_policy_.may_use(request, *primary, state_.now)) return {};
    if (has_capacity(*primary, request, 1)) return {primary};
    request.blocked_reason = slow_start_.is_active(*primary, state_.now) ? RejectionReason::slow_start
                                                                         : RejectionReason::at_capacity;
    return {};
}

EndpointChoice LoadBalancer::choose_for_read(ReplicaGroup& group, Request& request) {
    request.blocked_reason = RejectionReason::no_eligible_endpoint;
    ReadCandidates candidates;
    candidates.is_long_read = state_.class_of(request).consistency == Consistency::any &&
                              state_.usual_us(request) > kLongReadFactor * state_.latency.shortest_usual_us();
    // The endpoints of this router's subset first; the others only where the subset has none.
    auto choice = choose_from(true, group, request, candidates);
    if (!choice.endpoint) choice = choose_from(false, group, request, candidates);
    return choice;
}

EndpointChoice LoadBalancer::choose_from(bool in_subset, ReplicaGroup& group, Request& request,
                                         ReadCandidates& candidates) {
    for (const auto id : group.members) {
        auto& endpoint = state_.endpoints.at(id);
        if (endpoint.is_in_subset != in_subset) continue;
        const auto verdict = consider(endpoint, group, request, candidates);
        if (verdict == Verdict::taken) return {&endpoint};
        if (verdict == Verdict::trial) return {&endpoint, true};
    }
    return {candidates.least_slow ? candidates.least_slow : candidates.drawn};
}

LoadBalancer::Verdict LoadBalancer::consider(Endpoint& endpoint, ReplicaGroup& group, Request& request,
                                             ReadCandidates& candidates) {
    if (!is_eligible(endpoint, request)) return Verdict::skipped;
    if (endpoint.outlier.is_ejected) return consider_ejected(endpoint, group, request);
    const bool is_primary = group.primary == endpoint.id;
    const bool is_crowded = this->is_crowded(endpoint, request);
    if (!may_take_read(endpoint, request, is_primary, is_crowded)) {
        const bool is_starting = slow_start_.is_active(endpoint, state_.now);
        note_blocked(request, is_starting ? RejectionReason::slow_start : RejectionReason::at_capacity);
        return Verdict::skipped;
    }
    if (candidates.is_long_read && !is_primary) {
        if (!is_crowded) return Verdict::taken;
        candidates.note_crowded(endpoint, state_.now);
    }
    const double weight = draw_weight(endpoint, request, is_primary);
    candidates.total_weight += weight;
    if (state_.random.unit() * candidates.total_weight <= weight) candidates.drawn = &endpoint;
    return Verdict::weighed;
}

bool LoadBalancer::is_crowded(const Endpoint& endpoint, const Request& request) const {
    const double expected_us = latency_ratio(endpoint, state_.now) * state_.usual_us(request);
    const double objective_us = as_double(state_.class_of(request).latency_objective_us);
    return expected_us >= kCrowdedObjectiveRatio * objective_us;
}

// The primary is spared for writes, but for reads that ask for it.
bool LoadBalancer::may_take_read(Endpoint& endpoint, const Request& request, bool is_primary,
                                 bool is_crowded) {
    const bool is_spared = is_primary && state_.class_of(request).consistency != Consistency::linearizable;
    if (!is_spared) return has_capacity(endpoint, request, 1);
    if (is_crowded || slow_start_.is_active(endpoint, state_.now)) return false;
    return has_capacity(endpoint, request, kPrimaryReadCapacityShare);
}

bool LoadBalancer::is_eligible(Endpoint& endpoint, Request& request) {
    if (!retry_policy_.may_use(request, endpoint, state_.now)) return false;
    const bool was_tried_last = !request.attempts.empty() && request.attempts.back().endpoint == endpoint.id;
    if (was_tried_last) return false;
    if (!read_consistency_.is_met_by(endpoint, request)) {
        if (endpoint.outlier.is_ejected) return false;
        note_blocked(request, has_capacity(endpoint, request, 1) ? RejectionReason::too_stale
                                                                 : RejectionReason::at_capacity);
        return false;
    }
    if (!state_.zones.is_silent(endpoint.zone)) return true;
    note_blocked(request, RejectionReason::ejected);
    return false;
}

LoadBalancer::Verdict LoadBalancer::consider_ejected(Endpoint& endpoint, const ReplicaGroup& group,
                                                     Request& request) {
    note_blocked(request, RejectionReason::ejected);
    if (!slow_start_.admits(endpoint, group, state_.work_s(request), state_.now, state_.random))
        return Verdict::skipped;
    return outlier_detection_.begin_trial(endpoint, request) ? Verdict::trial : Verdict::skipped;
}

bool LoadBalancer::has_capacity(Endpoint& endpoint, const Request& request, double share) {
    const double work_s = state_.work_s(request);
    const double objective_us = as_double(state_.class_of(request).latency_objective_us);
    const double wait_s =
        (state_.usual_us(request) + kQueueingObjectiveRatio * objective_us) / kMicrosPerSecond;
    const double floor_s =
        work_s * std::max(kMinRouterRequests, kMinFleetRequests / state_.settings.router_count);
    const double capacity_s = floor_s + endpoint.work_done.per_second(state_.now) * wait_s;
    return endpoint.in_flight_work_s + work_s <= capacity_s * share &&
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
