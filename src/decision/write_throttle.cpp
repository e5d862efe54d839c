#include "write_throttle.h"

#include <algorithm>

namespace sloestack::decision {
namespace {

constexpr Micros kThrottleTtlUs = 3'000'000;     // the design's lifetime of a throttle without updates
constexpr double kMinCommitSpeed = 1e-8;         // the design's lower bound of the commit speed
constexpr Micros kDefaultLagTargetUs = 500'000;  // if no class has a staleness bound
constexpr double kStalledApplySpeed = 0.05;
constexpr double kMinDrainRatio = 0.5;
constexpr double kMaxCredit = 2;
constexpr double kMinAdmittedPerSecond = 0.1;
constexpr Micros kRetryAfterMarginUs = 5'000;

}  // namespace

WriteThrottle::WriteThrottle(const Settings& settings) {
    for (const auto& request_class : settings.classes) {
        if (request_class.consistency != Consistency::bounded_staleness) continue;
        const Micros target = request_class.staleness_bound_us / 2;
        lag_target_us_ = lag_target_us_ ? std::min(lag_target_us_, target) : target;
    }
    if (!lag_target_us_) lag_target_us_ = kDefaultLagTargetUs;
}

const Endpoint* WriteThrottle::slowest_replica(const ReplicaGroup& group, const RouterState& state) {
    const Endpoint* slowest = nullptr;
    for (const auto id : group.endpoint_ids) {
        const auto& endpoint = state.endpoints.at(id);
        const auto& replication = endpoint.replication;
        if (endpoint.is_leaving() || endpoint.outlier.is_ejected || group.primary == id) continue;
        if (replication.reported_at < state.now - replication.history.freshness_window_us()) continue;
        // Departure from the design: a replica whose position does not advance is paused or blocked by a long
        // query. Rejecting writes would not help it.
        if (replication.history.speed().value_or(1) < kStalledApplySpeed) continue;
        const bool is_slower = !slowest || replication.lag_us > slowest->replication.lag_us;
        if (replication.reported_at >= 0 && is_slower) slowest = &endpoint;
    }
    return slowest;
}

const Endpoint* WriteThrottle::update(ReplicaGroup& group, const RouterState& state) const {
    const Time now = state.now;
    const auto commit_speed = group.primary_history.speed();
    if (!commit_speed || !group.primary) return nullptr;
    if (group.last_commit_at < now - group.primary_history.freshness_window_us()) return nullptr;
    const auto* slowest = slowest_replica(group, state);
    if (!slowest || slowest->replication.lag_us <= lag_target_us_) return nullptr;
    const auto apply_speed = slowest->replication.history.speed();
    if (!apply_speed) return nullptr;
    // Departure from the design: with the speed ratio alone the lag would not decrease, so it is multiplied
    // by the ratio of target to lag.
    const double drain_ratio =
        std::max(kMinDrainRatio, as_double(lag_target_us_) / as_double(slowest->replication.lag_us));
    const double ratio =
        drain_ratio * std::clamp(*apply_speed / std::max(*commit_speed, kMinCommitSpeed), 0.0, 1.0);
    // Departure from the design: throttles only while the reads given up as too stale have more priority
    // weight than the writes that would be rejected. Writes are not rejected if reads are served without the
    // lagging replica.
    auto& throttle = group.throttle;
    const double rejected_weight = (1 - ratio) * throttle.write_weight.per_second(now);
    const bool reads_weigh_more = throttle.stale_reads_weight.per_second(now) > rejected_weight;
    if (!reads_weigh_more) return nullptr;
    const bool was_active = now < throttle.active_until;
    throttle.admitted_ratio = ratio;
    throttle.active_until = now + kThrottleTtlUs;
    return was_active ? nullptr : slowest;
}

bool WriteThrottle::admit(ReplicaGroup& group, Time now) {
    auto& throttle = group.throttle;
    throttle.writes_offered.add(now, 1);
    if (now >= throttle.active_until) return true;
    throttle.credit = std::min(kMaxCredit, throttle.credit + throttle.admitted_ratio);
    if (throttle.credit < 1) return false;
    throttle.credit -= 1;
    return true;
}

Micros WriteThrottle::retry_after_us(const ReplicaGroup& group, Time now, double draw) {
    const auto& throttle = group.throttle;
    const double offered = throttle.writes_offered.per_second(now);
    const double admitted = std::max(kMinAdmittedPerSecond, offered * throttle.admitted_ratio);
    return as_micros((1 - throttle.credit + draw) / admitted * kMicrosPerSecond) + kRetryAfterMarginUs;
}

}  // namespace sloestack::decision
