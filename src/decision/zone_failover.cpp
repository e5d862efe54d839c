#include "zone_failover.h"

#include <algorithm>

namespace sloestack::decision {

void ZoneFailover::update(Actions& actions) {
    if (!state_.settings.health_checks_allowed) return;
    for (const int zone : state_.zones.find_newly_silent(state_.now, pending_attempts())) {
        actions.emplace_back(Log{"zone silent: " + std::to_string(zone)});
        hedge_reads_of(zone, actions);
    }
    const double draw = state_.random.unit();
    for (const int zone : state_.zones.due_health_checks(state_.now, state_.settings.router_count, draw))
        check_one_endpoint_of(zone, actions);
}

std::vector<ZoneHealth::PendingAttempt> ZoneFailover::pending_attempts() const {
    std::vector<ZoneHealth::PendingAttempt> pending;
    for (const auto& [id, endpoint] : state_.busy_endpoints)
        for (const auto& [key, attempt] : endpoint->in_flight)
            pending.push_back({endpoint->zone, id, attempt.sent_at, attempt.expected_latency_us});
    return pending;
}

void ZoneFailover::hedge_reads_of(int zone, Actions& actions) {
    std::vector<RequestId> waiting;
    for (const auto& [id, request] : state_.requests)
        if (waits_in(request, zone)) waiting.push_back(id);
    std::sort(waiting.begin(), waiting.end());
    for (const auto id : waiting) {
        if (retry_budget_.is_spent()) return;
        auto& request = state_.requests.at(id);
        const auto choice = load_balancer_.choose(request);
        if (choice.endpoint && lifecycle_.forward(request, *choice.endpoint, 0, actions))
            retry_budget_.spend();
    }
}

bool ZoneFailover::waits_in(const Request& request, int zone) const {
    const bool is_idempotent = state_.class_of(request).idempotency == Idempotency::idempotent;
    if (request.open_attempts != 1 || !is_idempotent) return false;
    const auto endpoint = state_.endpoints.find(request.attempts.back().endpoint);
    return endpoint != state_.endpoints.end() && endpoint->second.zone == zone;
}

// Drawn evenly from those of the zone that may be forwarded to.
void ZoneFailover::check_one_endpoint_of(int zone, Actions& actions) {
    const Endpoint* drawn = nullptr;
    int candidates = 0;
    for (const auto& [id, endpoint] : state_.endpoints) {
        if (endpoint.zone != zone || endpoint.is_leaving()) continue;
        ++candidates;
        if (state_.random.unit() * candidates < 1) drawn = &endpoint;
    }
    if (drawn) actions.emplace_back(StartHealthCheck{drawn->id});
}

}  // namespace sloestack::decision
