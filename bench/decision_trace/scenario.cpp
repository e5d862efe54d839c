#include "scenario.h"

namespace decision_trace {
namespace {

using namespace sloestack::decision;

RequestClassSettings make_class(Consistency consistency, Idempotency idempotency, IdempotencyScope scope,
                                bool is_write = false) {
    RequestClassSettings out;
    out.is_write = is_write;
    out.consistency = consistency;
    out.idempotency = idempotency;
    out.idempotency_scope = scope;
    out.latency_objective_us = consistency == Consistency::any ? 120'000 : 60'000;
    out.deadline_us = 600'000;
    out.staleness_bound_us = consistency == Consistency::bounded_staleness ? 300'000 : 0;
    out.idempotency_window_us = idempotency == Idempotency::keyed ? 250'000 : 0;
    out.priority_weight = is_write ? 4 : 1;
    out.late_weight_ratio = 0.3;
    return out;
}

Settings common_settings(IdempotencyScope scope) {
    Settings out;
    out.classes = {make_class(Consistency::bounded_staleness, Idempotency::idempotent, scope),
                   make_class(Consistency::session, Idempotency::idempotent, scope),
                   make_class(Consistency::linearizable, Idempotency::idempotent, scope),
                   make_class(Consistency::any, Idempotency::idempotent, scope),
                   make_class(Consistency::linearizable, Idempotency::keyed, scope, true),
                   make_class(Consistency::linearizable, Idempotency::none, scope, true)};
    out.cancel_allowed = true;
    out.retry_after_supported = true;
    out.max_retry_after_us = 500'000;
    out.max_attempts = 4;
    out.slow_start_min_capacity_ratio = 0.2;
    out.slow_start_duration_us = 3'000'000;
    out.overload_multiple = 2;
    out.overload_window_us = 1'000'000;
    out.cross_zone_cost = 0.01;
    return out;
}

// Endpoints reject reads that need a newer position than theirs; health checks report position and role.
Settings checked_settings() {
    auto out = common_settings(IdempotencyScope::replica_group);
    out.discovery_is_polled = true;
    out.position_check = PositionCheck::reject;
    out.listed_role = ListedRole::delayed;
    out.health_checks_allowed = true;
    out.health_checks_report_status = true;
    return out;
}

// Endpoints serve reads whatever their position is; endpoint lists have no roles.
Settings unchecked_settings() {
    auto out = common_settings(IdempotencyScope::fleet);
    out.discovery_is_polled = true;
    out.hedging_allowed = true;
    out.health_checks_allowed = true;
    out.health_checks_report_status = true;
    out.position_check = PositionCheck::none;
    return out;
}

// Endpoints delay reads until they have caught up; a local agent pushes endpoint lists, and removal is
// advisory.
Settings waiting_settings() {
    auto out = common_settings(IdempotencyScope::zone);
    out.discovery_agent_is_local = true;
    out.discovery_is_polled = true;
    out.last_write_age_reported = true;
    out.position_check = PositionCheck::wait;
    out.position_wait_us = 40'000;
    out.listed_role = ListedRole::initial;
    out.removal_is_advisory = true;
    out.retry_after_supported = false;
    out.max_attempts = 3;
    return out;
}

struct Size {
    int routers, groups, endpoints_per_group;
    Micros duration_us;
    std::int64_t requests_per_second;
};

}  // namespace

std::vector<Scenario> all_scenarios() {
    const std::pair<const char*, Settings> profiles[] = {{"checked", checked_settings()},
                                                         {"unchecked", unchecked_settings()},
                                                         {"waiting", waiting_settings()}};
    const Size sizes[] = {
        {3, 4, 3, 16'000'000, 900}, {30, 10, 4, 12'000'000, 2'500}, {300, 24, 5, 9'000'000, 6'000}};
    std::vector<Scenario> out;
    for (const auto& [name, settings] : profiles)
        for (const auto& size : sizes) {
            Scenario scenario;
            scenario.name = std::string(name) + "-" + std::to_string(size.routers);
            scenario.settings = settings;
            scenario.settings.router_count = size.routers;
            scenario.seed = 7'001 + out.size();
            scenario.routers = size.routers;
            scenario.groups = size.groups;
            scenario.endpoints_per_group = size.endpoints_per_group;
            scenario.duration_us = size.duration_us;
            scenario.requests_per_second = size.requests_per_second;
            out.push_back(scenario);
        }
    return out;
}

}  // namespace decision_trace
