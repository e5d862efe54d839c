#include "primary_tracker.h"

#include <algorithm>

#include "replication_lag.h"

namespace sloestack::decision {
namespace {

// Between writes sent to find the primary, for few routers and for each router of many: writes that are
// declined are load as well.
constexpr Micros kMinTrialWriteIntervalUs = 20'000;
constexpr Micros kTrialWriteIntervalPerRouterUs = 1'000;
constexpr Micros kSilentZoneIntervalFactor = 5;  // a primary is known, but its zone is silent
constexpr Micros kRoleTtlUs = 500'000;           // after it a replica may have been promoted
// Between health checks of a group without a primary, for few routers and for each router of many.
constexpr Micros kMinHealthCheckIntervalUs = 250'000;
constexpr Micros kHealthCheckIntervalPerRouterUs = 60'000;
// Of one endpoint, by all routers together, as they first use its group.
constexpr double kFirstHealthChecks = 6;

}  // namespace

PrimaryTracker::PrimaryTracker(RouterState& state, const RetryPolicy& retry_policy,
                               const SlowStart& slow_start)
    : state_(state),
      retry_policy_(retry_policy),
      slow_start_(slow_start),
      health_check_interval_us_(std::max(kMinHealthCheckIntervalUs,
                                         state.settings.router_count * kHealthCheckIntervalPerRouterUs)) {
    // Where endpoints check reads themselves, one without a known position is simply tried.
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
    // A load report may be older than the answer that named the replica.
    const bool is_outdated = status.role == Role::primary && endpoint.role == Role::replica &&
                             status.position && *status.position < endpoint.role_at;
    if (is_outdated) return;
    endpoint.role_at = state_.now;
    state_.startup.on_role_reported(group.id);
    if (status.role == Role::primary) return on_primary_reported(endpoint, group, status, actions);
    endpoint.role = Role::replica;
    if (group.primary == endpoint.id) lose(group, " now a replica", actions);
}

void PrimaryTracker::on_primary_reported(Endpoint& endpoint, ReplicaGroup& group,
                                         const ReplicationStatus& status, Actions& actions) {
    const bool is_newest = !status.position || *status.position >= group.primary_position;
    if (group.primary == endpoint.id || !is_newest) return;
    // Positions did not advance while there was no primary: a speed across that gap would be too low and
    // would throttle writes.
    if (group.primary_lost_at >= 0 || group.primary) {
        group.primary_history.clear();
        for (const auto id : group.members) state_.endpoints.at(id).replication.history.clear();
    }
    endpoint.role = Role::primary;
    group.primary = endpoint.id;
    actions.emplace_back(endpoint_log("primary found: endpoint ", endpoint));
}

void PrimaryTracker::lose(ReplicaGroup& group, const char* why, Actions& actions) {
    if (!group.primary) return;
    if (const auto* primary = state_.find_endpoint(*group.primary))
        actions.emplace_back(endpoint_log("primary lost: endpoint ", *primary, why));
    group.primary.reset();
    group.primary_lost_at = state_.now;
}

Endpoint* PrimaryTracker::trial_candidate(ReplicaGroup& group, const Request& request) {
    const Micros interval_us =
        std::max(kMinTrialWriteIntervalUs, state_.settings.router_count * kTrialWriteIntervalPerRouterUs);
    const Micros factor = group.primary ? kSilentZoneIntervalFactor : 1;
    if (state_.now - group.candidate_tried_at < factor * interval_us) return nullptr;
    Endpoint* drawn = nullptr;
    int candidates = 0;
    for (const auto id : group.members) {
        auto& endpoint = state_.endpoints.at(id);
        if (!may_be_primary(endpoint) || !retry_policy_.may_use(request, endpoint, state_.now)) continue;
        if (!slow_start_.admits(endpoint, group, state_.work_s(request), state_.now, state_.random)) continue;
        ++candidates;
        if (state_.random.unit() * candidates < 1) drawn = &endpoint;
    }
    if (drawn) group.candidate_tried_at = state_.now;
    return drawn;
}

bool PrimaryTracker::may_be_primary(const Endpoint& endpoint) const {
    if (endpoint.outlier.is_ejected || state_.zones.is_silent(endpoint.zone)) return false;
    return endpoint.role != Role::replica || state_.now - endpoint.role_at >= kRoleTtlUs;
}

void PrimaryTracker::on_first_use(ReplicaGroup& group, Actions& actions) {
    if (group.health_checked_at >= 0 || !state_.settings.health_checks_allowed) return;
    health_check_members(group, first_check_probability_, actions);
}

void PrimaryTracker::renew_health_checks(ReplicaGroup& group, bool is_confirmed, Actions& actions) {
    if (is_confirmed || group.health_checked_at < 0 || !state_.settings.health_checks_report_status) return;
    if (state_.now - group.health_checked_at <= health_check_interval_us_) return;
    // Many routers check only for requests that wait.
    const bool few_routers = health_check_interval_us_ == kMinHealthCheckIntervalUs;
    if (few_routers || group.has_queued_requests()) health_check_members(group, 1, actions);
}

void PrimaryTracker::health_check_members(ReplicaGroup& group, double probability, Actions& actions) {
    group.health_checked_at = state_.now;
    for (const auto id : group.members) {
        if (state_.endpoints.at(id).is_leaving()) continue;
        if (probability >= 1 || state_.random.unit() < probability)
            actions.emplace_back(StartHealthCheck{id});
    }
}

}  // namespace sloestack::decision
