#include "slow_start.h"

#include <algorithm>
#include <cmath>

namespace sloestack::decision {
namespace {

// Minimum capacity assumed for an endpoint: requests in flight of all routers together.
constexpr double kMinRequestsInFlight = 0.5;
// Share of the overload multiple that may be forwarded, relative to the work of warm endpoints, which have
// spare capacity themselves.
constexpr double kOverloadMultipleRatio = 0.75;
// Share of the endpoint's overload budget that all routers together may save up.
constexpr double kMaxSavedCreditRatio = 0.2;
constexpr Micros kWorkUpdateIntervalUs = 250'000;
constexpr double kWorkSmoothingFactor = 0.1;  // a time constant of about 2.5 s

}  // namespace

void SlowStart::begin(Endpoint& endpoint, Time started_at) {
    endpoint.slow_start.started_at = started_at;
    endpoint.slow_start.credit_updated_at = -1;
}

double SlowStart::capacity_ratio(const Endpoint& endpoint, Time now) const {
    const Time started_at = endpoint.slow_start.started_at;
    if (started_at < 0 || now - started_at >= settings_.slow_start_duration_us) return 1;
    const double progress = as_double(now - started_at) / as_double(settings_.slow_start_duration_us);
    const double min_ratio = settings_.slow_start_min_capacity_ratio;
    return min_ratio + (1 - min_ratio) * std::max(0.0, progress);
}

bool SlowStart::admits(Endpoint& endpoint, const ReplicaGroup& group, double work_s, Time now,
                       RandomSource& random) const {
    if (!is_active(endpoint, now)) return true;
    auto& state = endpoint.slow_start;
    const double load_ratio =
        std::max(1.0, kOverloadMultipleRatio * settings_.overload_multiple) * capacity_ratio(endpoint, now);
    const double rate =
        load_ratio * std::max(kMinRequestsInFlight / settings_.router_count, group.work_per_endpoint);
    if (state.credit_updated_at < 0) {
        state.credit_updated_at = now;
        state.credit_s = random.unit() * work_s;
    }
    state.credit_s += rate * as_double(now - state.credit_updated_at) / kMicrosPerSecond;
    state.credit_updated_at = now;
    const double budget_s =
        settings_.overload_multiple * as_double(settings_.overload_window_us) / kMicrosPerSecond;
    const double max_credit_s = work_s + rate * kMaxSavedCreditRatio * budget_s;
    if (state.credit_s > max_credit_s)
        state.credit_s = max_credit_s - work_s + std::fmod(state.credit_s - max_credit_s, work_s);
    return state.credit_s >= work_s;
}

void SlowStart::spend(Endpoint& endpoint, double work_s, Time now) const {
    if (is_active(endpoint, now)) endpoint.slow_start.credit_s -= work_s;
}

void update_work_per_endpoint(ReplicaGroup& group, const RouterState& state, const SlowStart& slow_start) {
    if (state.now - group.work_updated_at <= kWorkUpdateIntervalUs) return;
    group.work_updated_at = state.now;
    double sum = 0;
    double endpoint_count = 0;
    double warm_count = 0;
    for (const auto id : group.endpoint_ids) {
        const auto& endpoint = state.endpoints.at(id);
        if (endpoint.is_leaving()) continue;
        ++endpoint_count;
        if (endpoint.outlier.is_ejected || slow_start.is_active(endpoint, state.now)) continue;
        sum += endpoint.work_done.per_second(state.now);
        ++warm_count;
    }
    const double rate = warm_count > 0 ? sum / warm_count : 0;
    if (group.work_per_endpoint == 0) group.work_per_endpoint = rate;
    if (rate > group.work_per_endpoint || warm_count == endpoint_count)
        group.work_per_endpoint += kWorkSmoothingFactor * (rate - group.work_per_endpoint);
}

}  // namespace sloestack::decision
