#include "primary_tracker.h"

#include <algorithm>

#include "replication_lag.h"

namespace sloestack::decision {
namespace {

// Interval between trial writes of one router: the greater of the two, the second times the router count.
// Limits the trial writes of all routers, because declined writes are load too.
constexpr Micros kMinTrialWriteIntervalUs = 20'000;
constexpr Micros kTrialWriteIntervalPerRouterUs = 1'000;
constexpr Micros kSilentZoneIntervalFactor = 5;  // if a primary is known, but its zone is silent
constexpr Micros kRoleTtlUs = 500'000;           // after this time a replica may have been promoted
// Interval between health checks of a group without a confirmed primary: the greater of the two, the second
// times the router count.
constexpr Micros kMinHealthCheckIntervalUs = 250'000;
constexpr Micros kHealthCheckIntervalPerRouterUs = 60'000;
// Expected health checks of one endpoint by all routers together at their first use of its group.
constexpr double kFirstHealthChecks = 6;

}  // namespace

PrimaryTracker::PrimaryTracker(RouterState& state, const RetryPolicy& retry_policy,
                               const SlowStart& slow_start)
    : state_(state),
      retry_policy_(retry_policy),
      slow_start_(slow_start),
      health_check_interval_us_(std::max(kMinHealthCheckIntervalUs,
                                         state.settings.router_count * kHealthCheckIntervalPerRouterUs)) {
    // If endpoints check positions themselves, reads may be forwarded to one whose position is unknown, so
    // not every router needs to check each endpoint.
    if (state.settings.position_check != PositionCheck::none)
        first_check_probability_ = std::min(1.0, kFirstHealthChecks / state.settings.router_count);
}

Endpoint* PrimaryTracker::usable_primary(const ReplicaGroup& group) const {
    auto* primary = group.primary ? state_.find_endpoint(*group.primary) : nullptr;
    return primary && !state_.zones.is_silent(primary->zone) ? primary : nullptr;
}

void PrimaryTracker::on_status(Endpoint& endpoint, const ReplicationStatus& status, Actions& actions) {
    auto& group = state_.group(endpoint.replica_group);
    record_position(endpoint, group, status, state_.now);
    if (status.role == Role::unknown) return;
    // A load report may be older than the response that reported the endpoint as a replica.
    const bool is_outdated = status.role == Role::primary && endpoint.role == Role::replica &&
                             status.position && *status.position < endpoint.role_at;
    if (is_outdated) return;
    endpoint.role_at = state_.now;
    state_.startup.on_role_reported(group.id);
    if (status.role == Role::primary) return on_primary_reported(endpoint, group, status, actions);
    endpoint.role = Role::replica;
    if (group.primary == endpoint.id) clear_primary(group, " now a replica", actions);
}

void PrimaryTracker::on_primary_reported(Endpoint& endpoint, ReplicaGroup& group,
                                         const ReplicationStatus& status, Actions& actions) {
    const bool is_newest = !status.position || *status.position >= group.primary_position;
    if (group.primary == endpoint.id || !is_newest) return;
    // Positions did not advance while there was no primary: a speed measured across that gap would be too low
    // and would throttle writes.
    if (group.primary_lost_at >= 0 || group.primary) {
        group.primary_history.clear();
        for (const auto id : group.endpoint_ids) state_.endpoints.at(id).replication.history.clear();
    }
    endpoint.role = Role::primary;
    group.primary = endpoint.id;
    actions.emplace_back(endpoint_log("primary found: endpoint ", endpoint));
}

void PrimaryTracker::clear_primary(ReplicaGroup& group, const char* reason, Actions& actions) {
    if (!group.primary) return;
    if (const auto* primary = state_.find_endpoint(*group.primary))
        actions.emplace_back(endpoint_log("primary lost: endpoint ", *primary, reason));
    group.primary.reset();
    group.primary_lost_at = state_.now;
}

Endpoint* PrimaryTracker::trial_candidate(ReplicaGroup& group, const Request& request) {
    const Micros interval_us =
        std::max(kMinTrialWriteIntervalUs, state_.settings.router_count * kTrialWriteIntervalPerRouterUs);
    const Micros factor = group.primary ? kSilentZoneIntervalFactor : 1;
    if (state_.now - group.last_trial_write_at < factor * interval_us) return nullptr;
    Endpoint* sampled_endpoint = nullptr;
    int candidate_count = 0;
    for (const auto id : group.endpoint_ids) {
        auto& endpoint = state_.endpoints.at(id);
        if (!may_be_primary(endpoint) || !retry_policy_.may_forward_to(request, endpoint, state_.now))
            continue;
        if (!slow_start_.admits(endpoint, group, state_.work_s(request), state_.now, state_.random)) continue;
        ++candidate_count;
        if (state_.random.unit() * candidate_count < 1) sampled_endpoint = &endpoint;
    }
    if (sampled_endpoint) group.last_trial_write_at = state_.now;
    return sampled_endpoint;
}

bool PrimaryTracker::may_be_primary(const Endpoint& endpoint) const {
    if (endpoint.outlier.is_ejected || state_.zones.is_silent(endpoint.zone)) return false;
    return endpoint.role != Role::replica || state_.now - endpoint.role_at >= kRoleTtlUs;
}

void PrimaryTracker::on_first_use(ReplicaGroup& group, Actions& actions) {
    if (group.health_checked_at >= 0 || !state_.settings.health_checks_allowed) return;
    check_endpoints(group, first_check_probability_, actions);
}

void PrimaryTracker::repeat_health_checks(ReplicaGroup& group, bool is_confirmed, Actions& actions) {
    if (is_confirmed || group.health_checked_at < 0 || !state_.settings.health_checks_report_status) return;
    if (state_.now - group.health_checked_at <= health_check_interval_us_) return;
    // In large fleets only routers with queued requests check.
    const bool few_routers = health_check_interval_us_ == kMinHealthCheckIntervalUs;
    if (few_routers || group.has_queued_requests()) check_endpoints(group, 1, actions);
}

void PrimaryTracker::check_endpoints(ReplicaGroup& group, double probability, Actions& actions) {
    group.health_checked_at = state_.now;
    for (const auto id : group.endpoint_ids) {
        if (state_.endpoints.at(id).is_leaving()) continue;
        if (probability >= 1 || state_.random.unit() < probability)
            actions.emplace_back(StartHealthCheck{id});
    }
}

}  // namespace sloestack::decision
