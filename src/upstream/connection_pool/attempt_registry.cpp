#include "connection_pool/attempt_registry.h"

#include "connection_pool/load_report.h"
#include "invariant/invariant.h"

namespace sloestack::upstream {
namespace {

constexpr traffic::RequestId kHealthCheckRequestId = 0;  // no request has this id
constexpr Micros kHealthCheckTimeoutUs = 250'000;

}  // namespace

PendingAttempt& AttemptRegistry::add(const traffic::Attempt& attempt) {
    auto pending = std::make_unique<PendingAttempt>();
    pending->attempt = attempt;
    pending->is_health_check = attempt.request == kHealthCheckRequestId;
    return insert(std::move(pending));
}

PendingAttempt& AttemptRegistry::add_health_check(traffic::EndpointId endpoint) {
    traffic::Attempt attempt;
    attempt.request = kHealthCheckRequestId;
    attempt.number = health_check_count_;
    attempt.endpoint = endpoint;
    attempt.timeout_at = deadlines_.now() + kHealthCheckTimeoutUs;
    ++health_check_count_;
    return add(attempt);
}

PendingAttempt& AttemptRegistry::insert(std::unique_ptr<PendingAttempt> pending) {
    auto& inserted = *pending;
    inserted.started_at = deadlines_.now();
    pending_[{inserted.attempt.request, inserted.attempt.number}] = std::move(pending);
    return inserted;
}

PendingAttempt* AttemptRegistry::find(traffic::RequestId request, int number) const {
    const auto found = pending_.find({request, number});
    return found == pending_.end() ? nullptr : found->second.get();
}

void AttemptRegistry::finish(PendingAttempt& pending, decision::Outcome outcome, UpstreamResponse* response) {
    const auto found = pending_.find({pending.attempt.request, pending.attempt.number});
    if (!SLOESTACK_INVARIANT(found != pending_.end(), "each attempt is finished once")) return;
    const auto owned = std::move(found->second);
    pending_.erase(found);
    if (owned->is_health_check)
        report_health_check(*owned, outcome, response);
    else
        report_attempt(*owned, outcome, response);
}

void AttemptRegistry::report_attempt(const PendingAttempt& pending, decision::Outcome outcome,
                                     UpstreamResponse* response) {
    decision::AttemptEnded ended;
    ended.request = pending.attempt.request;
    ended.attempt = pending.attempt.number;
    ended.endpoint = pending.attempt.endpoint;
    ended.outcome = outcome;
    ended.latency_us = deadlines_.now() - pending.started_at;
    ended.on_reused_connection = pending.on_reused_connection;
    std::optional<traffic::ResultValue> value;
    if (response) {
        ended.status = response->status;
        ended.reported_status = response->reported_status;
        if (outcome == decision::Outcome::ok) value = std::move(response->value);
    }
    listener_.on_attempt_ended(ended, std::move(value));
}

void AttemptRegistry::report_health_check(const PendingAttempt& pending, decision::Outcome outcome,
                                          const UpstreamResponse* response) {
    decision::HealthCheckEnded ended;
    ended.endpoint = pending.attempt.endpoint;
    ended.outcome = outcome;
    ended.latency_us = deadlines_.now() - pending.started_at;
    if (response && response->value) ended.reported_status = parse_load_report(response->value->bytes);
    listener_.on_health_check_ended(ended);
}

}  // namespace sloestack::upstream
