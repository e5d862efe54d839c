#include "outlier_detection.h"

#include <algorithm>
#include <cmath>

#include "silence_criteria.h"

namespace sloestack::decision {
namespace {

// Smoothing factor for increasing latency ratios; greater than kLatencyDecreaseStep to react to slow
// endpoints quickly.
constexpr double kLatencyIncreaseStep = 0.15;
constexpr double kMaxSampleWeight = 0.5;  // of a single response in the smoothed ratio
constexpr double kMinLatencyRatio = 0.2;
constexpr int kDisconnectsToEject = 3;  // consecutive: the process has died, not a single connection
constexpr Micros kFirstTrialDelayUs = 250'000;
constexpr Micros kMaxTrialIntervalUs = 2'000'000;
// An endpoint that was ejected for longer may have restarted and gets a slow start.
constexpr Micros kRestartAssumedAfterUs = 1'000'000;

bool is_response(Outcome outcome) {
    return outcome == Outcome::ok || outcome == Outcome::not_eligible || outcome == Outcome::overloaded ||
           outcome == Outcome::error;
}

}  // namespace

double latency_ratio(const Endpoint& endpoint, Time now) {
    const auto& outlier = endpoint.outlier;
    const double age_us = as_double(now - outlier.latency_updated_at);
    return 1 + (outlier.latency_ratio - 1) * std::exp(-age_us / kLongRateWindowUs);
}

void OutlierDetection::on_attempt_ended(Endpoint& endpoint, const AttemptEnded& end, Actions& actions) {
    const auto found = endpoint.in_flight.find({end.request, end.attempt});
    if (found == endpoint.in_flight.end()) return;
    const auto attempt = found->second;
    endpoint.in_flight.erase(found);
    if (endpoint.in_flight.empty()) state_.busy_endpoints.erase(endpoint.id);
    endpoint.in_flight_work_s = endpoint.in_flight.empty() ? 0 : endpoint.in_flight_work_s - attempt.work_s;
    const bool has_response = is_response(end.outcome);
    if (has_response) on_response(endpoint, actions);
    if (end.outcome == Outcome::timeout || end.outcome == Outcome::connect_failed) {
        ++endpoint.outlier.unanswered_attempts;
        state_.zones.on_timeout(state_.now, endpoint.zone, endpoint.id, as_double(end.latency_us),
                                attempt.expected_latency_us);
    }
    if (end.outcome == Outcome::ok) endpoint.work_done.add(state_.now, attempt.work_s);
    record_latency(endpoint, end, has_response);
    const bool was_disconnected = end.outcome == Outcome::connect_failed || end.outcome == Outcome::reset;
    // A reused connection may have been closed while idle.
    if (!was_disconnected || end.on_reused_connection) return;
    if (++endpoint.outlier.consecutive_disconnects >= kDisconnectsToEject)
        eject(endpoint, EjectionCause::disconnected, actions);
}

void OutlierDetection::record_latency(Endpoint& endpoint, const AttemptEnded& end, bool has_response) {
    // Time-outs count as latencies as well: an endpoint may serve a few requests quickly and lose the rest.
    const bool has_latency = end.outcome == Outcome::ok || end.outcome == Outcome::timeout;
    if (const auto* request = state_.find_request(end.request); request && has_latency) {
        const double ratio = state_.latency.ratio(request->class_index(), end.latency_us);
        state_.latency.update(request->class_index(), ratio);
        update_latency_ratio(endpoint, ratio);
        if (has_response) state_.latency.update_fleet(ratio);
    }
    if (end.outcome == Outcome::overloaded || end.outcome == Outcome::error)
        update_latency_ratio(endpoint, kMaxLatencyRatio);
}

// The longer ago the last sample, the greater the weight of the new one.
void OutlierDetection::update_latency_ratio(Endpoint& endpoint, double ratio) {
    auto& outlier = endpoint.outlier;
    const double age_us = as_double(state_.now - outlier.latency_updated_at);
    const double weight = std::min(kMaxSampleWeight, 1 - std::exp(-age_us / kLongRateWindowUs));
    const double previous_ratio = latency_ratio(endpoint, state_.now);
    const double step =
        std::max(ratio > previous_ratio ? kLatencyIncreaseStep : kLatencyDecreaseStep, weight);
    outlier.latency_ratio = std::max(
        kMinLatencyRatio, previous_ratio + step * (std::min(ratio, kMaxLatencyRatio) - previous_ratio));
    outlier.latency_updated_at = state_.now;
}

void OutlierDetection::on_response(Endpoint& endpoint, Actions& actions) {
    endpoint.outlier.last_response_at = state_.now;
    endpoint.outlier.consecutive_disconnects = 0;
    endpoint.outlier.unanswered_attempts = 0;
    if (endpoint.outlier.is_ejected) restore(endpoint, actions);
    const bool was_zone_silent = state_.zones.on_response(state_.now, endpoint.zone);
    if (!was_zone_silent) return;
    actions.emplace_back(endpoint_log("zone restored: endpoint ", endpoint));
    for (auto& [id, other] : state_.endpoints)
        if (other.zone == endpoint.zone) other.outlier.next_trial_at = state_.now;
}

void OutlierDetection::eject_silent(Actions& actions) {
    for (const auto& [id, endpoint] : state_.busy_endpoints)
        if (!endpoint->outlier.is_ejected && is_silent(*endpoint))
            eject(*endpoint, EjectionCause::silent, actions);
}

// Requires at least two unanswered attempts, because a single one may be queued behind requests of other
// routers; an endpoint that hangs with a single attempt in flight is therefore detected later. The longest
// wait is compared with the shortest expected latency of all attempts in flight.
bool OutlierDetection::is_silent(const Endpoint& endpoint) const {
    double evidence = 0;
    double longest_wait_us = 0;
    double shortest_expected_us = 1e18;
    for (const auto& [key, attempt] : endpoint.in_flight) {
        const double unanswered_us =
            as_double(state_.now - std::max(attempt.sent_at, endpoint.outlier.last_response_at));
        evidence += unanswered_us / attempt.expected_latency_us;
        longest_wait_us = std::max(longest_wait_us, unanswered_us);
        shortest_expected_us = std::min(shortest_expected_us, attempt.expected_latency_us);
    }
    const auto unanswered_attempts =
        endpoint.in_flight.size() + static_cast<std::size_t>(endpoint.outlier.unanswered_attempts);
    return evidence > kSilenceEvidence && unanswered_attempts > 1 &&
           longest_wait_us > std::max<double>(kMinSilenceUs, kSilenceLatencyFactor * shortest_expected_us);
}

void OutlierDetection::eject(Endpoint& endpoint, EjectionCause cause, Actions& actions) {
    auto& outlier = endpoint.outlier;
    if (outlier.is_ejected) return;
    outlier.is_ejected = true;
    outlier.ejected_at = state_.now;
    outlier.trial_interval_us = kFirstTrialDelayUs;
    outlier.next_trial_at = state_.now + kFirstTrialDelayUs;
    const char* reason = cause == EjectionCause::disconnected ? " disconnected" : " silent";
    actions.emplace_back(endpoint_log("endpoint ejected: ", endpoint, reason));
    auto& group = state_.group(endpoint.replica_group);
    if (group.primary == endpoint.id) primary_tracker_.clear_primary(group, " no answer", actions);
}

void OutlierDetection::restore(Endpoint& endpoint, Actions& actions) {
    auto& outlier = endpoint.outlier;
    actions.emplace_back(endpoint_log("endpoint restored: ", endpoint));
    if (state_.now - outlier.ejected_at > kRestartAssumedAfterUs) SlowStart::begin(endpoint, state_.now);
    outlier.is_ejected = false;
    outlier.latency_ratio = 1;
    outlier.latency_updated_at = state_.now;
}

bool OutlierDetection::begin_trial(Endpoint& endpoint, const Request& request) {
    const bool is_idempotent = state_.class_of(request).idempotency == Idempotency::idempotent;
    auto& outlier = endpoint.outlier;
    if (state_.now < outlier.next_trial_at || !is_idempotent || !request.attempts.empty()) return false;
    outlier.trial_interval_us = std::min(kMaxTrialIntervalUs, outlier.trial_interval_us * 3 / 2);
    outlier.next_trial_at = state_.now + outlier.trial_interval_us;
    return true;
}

bool OutlierDetection::is_avoided(const Endpoint& endpoint) const {
    return (endpoint.outlier.is_ejected || state_.zones.is_silent(endpoint.zone)) && !endpoint.is_leaving();
}

}  // namespace sloestack::decision
