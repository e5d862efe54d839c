#include "zone_failover.h"

#include <algorithm>

namespace sloestack::decision {

void ZoneFailover::update(Actions& actions) {
    if (!state_.settings.health_checks_allowed) return;
    for (const int zone : state_.zones.find_newly_silent(state_.now, pending_attempts())) {
        actions.emplace_back(Log{"zone silent: " + std::to_string(zone)});
        hedge_reads_in(zone, actions);
    }
    const double draw = state_.random.unit();
    for (const int zone : state_.zones.due_health_checks(state_.now, state_.settings.router_count, draw))
        check_one_endpoint_in(zone, actions);
}

std::vector<ZoneHealth::PendingAttempt> ZoneFailover::pending_attempts() const {
    std::vector<ZoneHealth::PendingAttempt> pending;
    for (const auto& [id, endpoint] : state_.busy_endpoints)
        for (const auto& [key, attempt] : endpoint->in_flight)
            pending.push_back({endpoint->zone, id, attempt.sent_at, attempt.expected_latency_us});
    return pending;
}

void ZoneFailover::hedge_reads_in(int zone, Actions& actions) {
    std::vector<RequestId> waiting_ids;
    for (const auto& [id, request] : state_.requests)
        if (is_waiting_in(request, zone)) waiting_ids.push_back(id);
    std::sort(waiting_ids.begin(), waiting_ids.end());
    for (const auto id : waiting_ids) {
        if (retry_budget_.is_spent()) return;
        auto& request = state_.requests.at(id);
        const auto choice = load_balancer_.choose(request);
        if (choice.endpoint && lifecycle_.forward(request, *choice.endpoint, 0, actions))
            retry_budget_.spend();
    }
}

bool ZoneFailover::is_waiting_in(const Request& request, int zone) const {
    const bool is_idempotent = state_.class_of(request).idempotency == Idempotency::idempotent;
    if (request.open_attempts != 1 || !is_idempotent) return false;
    const auto endpoint = state_.endpoints.find(request.attempts.back().endpoint);
    return endpoint != state_.endpoints.end() && endpoint->second.zone == zone;
}

// Selects uniformly among the endpoints of the zone that are neither draining nor removed.
void ZoneFailover::check_one_endpoint_in(int zone, Actions& actions) {
    const Endpoint* sampled_endpoint = nullptr;
    int candidate_count = 0;
    for (const auto& [id, endpoint] : state_.endpoints) {
        if (endpoint.zone != zone || endpoint.is_leaving()) continue;
        ++candidate_count;
        if (state_.random.unit() * candidate_count < 1) sampled_endpoint = &endpoint;
    }
    if (sampled_endpoint) actions.emplace_back(StartHealthCheck{sampled_endpoint->id});
}

}  // namespace sloestack::decision
