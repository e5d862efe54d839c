#include "slow_start.h"

#include <algorithm>
#include <cmath>

namespace sloestack::decision {
namespace {

// What all routers together may forward where nothing is known of an endpoint's capacity, in requests at a
// time.
constexpr double kMinRequestsInFlight = 0.5;
// Of the overload multiple, over what warm endpoints do: they have capacity to spare as well.
constexpr double kOverloadMultipleRatio = 0.75;
// Of the endpoint's budget, what all routers may have saved up.
constexpr double kMaxSavedRatio = 0.2;
constexpr Micros kWorkRatingIntervalUs = 250'000;
constexpr double kWorkRatingStep = 0.1;  // smoothing: some 2.5 s

}  // namespace

void SlowStart::begin(Endpoint& endpoint, Time started_at) {
    endpoint.slow_start.started_at = started_at;
    endpoint.slow_start.credited_at = -1;
}

double SlowStart::capacity_ratio(const Endpoint& endpoint, Time now) const {
    const Time started_at = endpoint.slow_start.started_at;
    if (started_at < 0 || now - started_at >= settings_.slow_start_duration_us) return 1;
    const double progress = as_double(now - started_at) / as_double(settings_.slow_start_duration_us);
    const double least = settings_.slow_start_min_capacity_ratio;
    return least + (1 - least) * std::max(0.0, progress);
}

bool SlowStart::admits(Endpoint& endpoint, const ReplicaGroup& group, double work_s, Time now,
                       RandomSource& random) const {
    if (!is_active(endpoint, now)) return true;
    auto& state = endpoint.slow_start;
    const double push =
        std::max(1.0, kOverloadMultipleRatio * settings_.overload_multiple) * capacity_ratio(endpoint, now);
    const double rate =
        push * std::max(kMinRequestsInFlight / settings_.router_count, group.work_per_endpoint);
    if (state.credited_at < 0) {
        state.credited_at = now;
        state.credit_s = random.unit() * work_s;
    }
    state.credit_s += rate * as_double(now - state.credited_at) / kMicrosPerSecond;
    state.credited_at = now;
    const double budget_s =
        settings_.overload_multiple * as_double(settings_.overload_window_us) / kMicrosPerSecond;
    const double max_credit_s = work_s + rate * kMaxSavedRatio * budget_s;
    if (state.credit_s > max_credit_s)
        state.credit_s = max_credit_s - work_s + std::fmod(state.credit_s - max_credit_s, work_s);
    return state.credit_s >= work_s;
}

void SlowStart::spend(Endpoint& endpoint, double work_s, Time now) const {
    if (is_active(endpoint, now)) endpoint.slow_start.credit_s -= work_s;
}

void renew_work_per_endpoint(ReplicaGroup& group, const RouterState& state, const SlowStart& slow_start) {
    if (state.now - group.work_rated_at <= kWorkRatingIntervalUs) return;
    group.work_rated_at = state.now;
    double sum = 0;
    double present = 0;
    double warm = 0;
    for (const auto id : group.members) {
        const auto& endpoint = state.endpoints.at(id);
        if (endpoint.is_leaving()) continue;
        ++present;
        if (endpoint.outlier.is_ejected || slow_start.is_active(endpoint, state.now)) continue;
        sum += endpoint.work_done.per_second(state.now);
        ++warm;
    }
    const double rate = warm > 0 ? sum / warm : 0;
    if (group.work_per_endpoint == 0) group.work_per_endpoint = rate;
    if (rate > group.work_per_endpoint || warm == present)
        group.work_per_endpoint += kWorkRatingStep * (rate - group.work_per_endpoint);
}

}  // namespace sloestack::decision
