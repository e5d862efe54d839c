#include "retry_policy.h"

#include <algorithm>

#include "conversions.h"

namespace sloestack::decision {
namespace {

// Subtracted from the idempotency window for the transmission to the endpoint.
constexpr Micros kIdempotencyWindowMarginUs = 20'000;
constexpr double kRetryAfterObjectiveRatio = 0.2;  // of the latency objective
constexpr double kCreditPerArrival = 0.2;

}  // namespace

bool RetryPolicy::proves_not_run(Outcome outcome) {
    return outcome == Outcome::overloaded || outcome == Outcome::connect_failed ||
           outcome == Outcome::expired || outcome == Outcome::not_eligible;
}

bool RetryPolicy::may_reject(const Request& request) const {
    const auto& settings = class_of(request);
    const bool repeatable_anywhere =
        settings.idempotency == Idempotency::keyed && settings.idempotency_scope == IdempotencyScope::fleet;
    return settings.idempotency == Idempotency::idempotent || repeatable_anywhere || !request.may_have_run();
}

bool RetryPolicy::may_forward(const Request& request, Time now) const {
    const bool attempts_left = static_cast<int>(request.attempts.size()) < settings_.max_attempts;
    if (!attempts_left || now >= request.arrival.deadline) return false;
    if (request.open_attempts > 0 && !settings_.hedging_allowed) return false;
    if (class_of(request).idempotency == Idempotency::idempotent || !request.may_have_run()) return true;
    return idempotency_window_left_us(request, now) > 0;
}

bool RetryPolicy::may_forward_to(const Request& request, const Endpoint& endpoint, Time now) const {
    if (endpoint.replica_group != request.arrival.replica_group || endpoint.is_leaving()) return false;
    return class_of(request).idempotency_scope != IdempotencyScope::zone ||
           !idempotency_window_left_us(request, now) || endpoint.zone == request.first_effect_zone;
}

std::optional<Micros> RetryPolicy::idempotency_window_left_us(const Request& request, Time now) const {
    const auto& settings = class_of(request);
    if (settings.idempotency != Idempotency::keyed || !request.may_have_run()) return std::nullopt;
    return settings.idempotency_window_us - kIdempotencyWindowMarginUs - (now - request.first_effect_at);
}

Micros RetryPolicy::retry_after_us(const Request& request) const {
    return as_micros(kRetryAfterObjectiveRatio * as_double(class_of(request).latency_objective_us));
}

void RetryBudget::on_arrival() { credit_ = std::min(kMaxCredit, credit_ + kCreditPerArrival); }

}  // namespace sloestack::decision
