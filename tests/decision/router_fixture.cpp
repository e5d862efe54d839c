#include "router_fixture.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace sloestack::decision::test {

namespace {

RequestClassSettings make_class(Consistency consistency, Idempotency idempotency = Idempotency::idempotent,
                                bool is_write = false) {
    RequestClassSettings request_class;
    request_class.is_write = is_write;
    request_class.consistency = consistency;
    request_class.idempotency = idempotency;
    request_class.latency_objective_us = 200'000;
    request_class.deadline_us = 1'000'000;
    request_class.staleness_bound_us = consistency == Consistency::bounded_staleness ? 300'000 : 0;
    request_class.idempotency_window_us = idempotency == Idempotency::keyed ? 500'000 : 0;
    return request_class;
}

}  // namespace

Settings default_settings(Idempotency write_idempotency) {
    Settings settings;
    settings.classes = {make_class(Consistency::bounded_staleness), make_class(Consistency::session),
                        make_class(Consistency::linearizable), make_class(Consistency::any),
                        make_class(Consistency::linearizable, write_idempotency, true)};
    settings.cancel_allowed = true;
    settings.retry_after_supported = true;
    settings.max_retry_after_us = 1'000'000;
    settings.max_attempts = 6;
    settings.slow_start_min_capacity_ratio = 0.2;
    settings.slow_start_duration_us = 10'000'000;
    settings.overload_multiple = 2;
    settings.overload_window_us = 2'000'000;
    return settings;
}

Settings fleet_settings(int router_count) {
    auto settings = default_settings();
    settings.router_count = router_count;
    settings.position_check = PositionCheck::wait;
    settings.health_checks_allowed = true;
    settings.health_checks_report_status = true;
    return settings;
}

EndpointEntry make_entry(EndpointId endpoint, EndpointState state) {
    EndpointEntry entry;
    entry.endpoint = endpoint;
    entry.state = state;
    return entry;
}

double to_double(Micros duration) { return static_cast<double>(duration); }

RouterFixture::RouterFixture(const Settings& settings, int endpoint_count, std::uint64_t seed)
    : router(settings, seed) {
    std::vector<EndpointEntry> entries;
    for (int i = 1; i <= endpoint_count; ++i) entries.push_back(make_entry(static_cast<EndpointId>(i)));
    endpoint_list(EndpointListKind::cached, std::move(entries));
    step();
}

void RouterFixture::endpoint_list(EndpointListKind kind, std::vector<EndpointEntry> entries) {
    auto shared = std::make_shared<const std::vector<EndpointEntry>>(std::move(entries));
    events.emplace_back(EndpointList{kind, std::move(shared)});
}

void RouterFixture::arrive(RequestId request, int request_class, SessionId session) {
    Arrival arrival;
    arrival.request = request;
    arrival.request_class = request_class;
    arrival.session = session;
    arrival.deadline = now + 1'000'000;
    events.emplace_back(arrival);
}

void RouterFixture::attempt_ended(RequestId request, EndpointId endpoint, Outcome outcome, Role role,
                                  Time position, bool request_ended, bool on_reused_connection) {
    AttemptEnded ended;
    ended.request = request;
    ended.attempt = attempts_[request] - 1;
    ended.endpoint = endpoint;
    ended.outcome = outcome;
    ended.latency_us = 20'000;
    ended.request_ended = request_ended;
    ended.on_reused_connection = on_reused_connection;
    ended.status.role = role;
    if (position) ended.status.position = position;
    events.emplace_back(ended);
}

void RouterFixture::attempt_succeeded(RequestId request, EndpointId endpoint, Role role, Time position) {
    attempt_ended(request, endpoint, Outcome::ok, role, position, true);
}

void RouterFixture::health_check_ended(EndpointId endpoint, Role role, Time position) {
    HealthCheckEnded ended;
    ended.endpoint = endpoint;
    ended.reported_status = {role, position};
    events.emplace_back(ended);
}

void RouterFixture::step(Micros elapsed) {
    now += elapsed;
    actions.clear();
    router.step(now, events, actions);
    events.clear();
    for (const auto& action : actions)
        if (const auto* forward = std::get_if<Forward>(&action)) ++attempts_[forward->request];
}

void RouterFixture::fire_timer(Micros elapsed) {
    events.emplace_back(TimerFired{1});
    step(elapsed);
}

void RouterFixture::establish_primary(EndpointId primary, int endpoint_count) {
    for (int i = 1; i <= endpoint_count; ++i) {
        const auto endpoint = static_cast<EndpointId>(i);
        const bool is_primary = endpoint == primary;
        health_check_ended(endpoint, is_primary ? Role::primary : Role::replica,
                           now - (is_primary ? 0 : 10'000));
    }
    step();
}

std::optional<EndpointId> RouterFixture::forwarded_to(RequestId request) const {
    const auto* forward = find<Forward>(request);
    return forward ? std::optional(forward->endpoint) : std::nullopt;
}

bool RouterFixture::logged(const std::string& prefix) const {
    return std::any_of(actions.begin(), actions.end(), [&](const Action& action) {
        const auto* log = std::get_if<Log>(&action);
        return log && log->text.rfind(prefix, 0) == 0;
    });
}

}  // namespace sloestack::decision::test
