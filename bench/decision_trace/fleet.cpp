#include "fleet.h"

#include <algorithm>

namespace decision_trace {
namespace {

using namespace sloestack::decision;

constexpr Micros kStepUs = 1'000;  // a router gets the events of this period in one call of step()
constexpr Micros kChangeIntervalUs = 250'000;
constexpr Micros kEjectedCountIntervalUs = 100'000;
constexpr Micros kMaxQueueUs = 60'000;  // an endpoint with more work than this in its queue rejects
constexpr Micros kRoundTripUs = 600;

const char* kind_of(const Event& event) {
    static constexpr const char* kKinds[] = {"list",        "arrival", "attempt-ended",     "answer-started",
                                             "client-gone", "timer",   "health-check-ended"};
    return kKinds[event.index()];
}

}  // namespace

Fleet::Fleet(const Scenario& scenario, Trace& trace)
    : scenario_(scenario), trace_(trace), random_(scenario.seed) {
    for (int group = 0; group < scenario_.groups; ++group)
        for (int index = 0; index < scenario_.endpoints_per_group; ++index) {
            add_endpoint(++last_endpoint_, group, (group + index) % scenario_.zones, 0);
            endpoints_[last_endpoint_].primary = index == 0;
            endpoints_[last_endpoint_].entry.listed_primary = index == 0;
        }
}

void Fleet::run() {
    start_routers();
    for (; now_ < start_ + scenario_.duration_us; now_ += kStepUs) {
        const Micros since = now_ - start_;
        if (since % kChangeIntervalUs == 0) change_fleet();
        add_arrivals();
        while (!pending_.empty() && pending_.top().at <= now_) {
            deliver(pending_.top());
            pending_.pop();
        }
        step_routers();
        if (since % kEjectedCountIntervalUs != 0) continue;
        for (std::size_t i = 0; i < routers_.size(); ++i)
            trace_.print_ejected_count(now_, static_cast<int>(i),
                                       routers_[i].router->ejected_endpoint_count());
    }
    trace_.print_summary(scenario_.name);
}

// ---- changes of the fleet ----
void Fleet::add_endpoint(EndpointId id, int group, int zone, Time started_at) {
    auto& endpoint = endpoints_[id];
    endpoint.entry.endpoint = id;
    endpoint.entry.replica_group = group;
    endpoint.entry.zone = zone;
    endpoint.entry.started_at = started_at;
    endpoint.lag_us = 10'000 + 5'000 * random_.below(8);
}

void Fleet::start_routers() {
    const auto entries = std::make_shared<const std::vector<EndpointEntry>>(endpoint_list());
    for (int i = 0; i < scenario_.routers; ++i) {
        auto settings = scenario_.settings;
        settings.zone = i % scenario_.zones;
        if (i % 3 != 0) settings.router_index = i;
        auto& router = routers_.emplace_back();
        router.router = std::make_unique<sloestack::decision::Router>(settings, random_.next());
        router.events.emplace_back(EndpointList{EndpointListKind::cached, entries});
    }
}

void Fleet::change_fleet() {
    const auto change = (now_ - start_) / kChangeIntervalUs;  // counts the calls of this function
    const auto last_change = scenario_.duration_us / kChangeIntervalUs;
    if (change == 6) set_zone_hung(1, true);
    if (change == 13) set_zone_hung(1, false);
    if (change == 4 || change == 16 || change == 24) replace_endpoints();
    if (change == 8 || change == 18 || change == 28)
        for (int group = 0; group < scenario_.groups; group += 3) fail_over(group);
    discovery_up_ = !(change >= 9 && change < 12);
    for (auto& [id, endpoint] : endpoints_) {
        const bool faults_enabled = change > 2 && change < last_change - 4;
        endpoint.failing = faults_enabled && random_.one_in(40);
        endpoint.resetting = faults_enabled && random_.one_in(40);
        endpoint.slow_factor = faults_enabled && random_.one_in(20) ? 8 : 1;
        if (random_.one_in(15))
            endpoint.hung = faults_enabled && endpoint.entry.zone != 1 && random_.one_in(3);
        // Lag grows and shrinks over some seconds, so that routers can measure the speed of replication.
        if (random_.one_in(8)) endpoint.lag_us = 10'000 + 50'000 * random_.below(20);
    }
    if (change % 8 == 7) publish(EndpointListKind::complete);
}

void Fleet::set_zone_hung(int zone, bool hung) {
    for (auto& [id, endpoint] : endpoints_)
        if (endpoint.entry.zone == zone) endpoint.hung = hung;
}

// Removes most draining endpoints, begins to drain some others, adds a replacement for each of those, and
// marks some as restarted.
void Fleet::replace_endpoints() {
    std::vector<Endpoint> replaced;
    for (auto& [id, endpoint] : endpoints_) {
        auto& state = endpoint.entry.state;
        if (state == EndpointState::draining && random_.percent(70)) {
            state = EndpointState::removed;
            endpoint.running = false;
        } else if (state == EndpointState::ready && !endpoint.primary && random_.one_in(8)) {
            state = EndpointState::draining;
            replaced.push_back(endpoint);
        } else if (state == EndpointState::ready && random_.one_in(12)) {
            endpoint.entry.started_at = now_ - 50'000;
        }
    }
    for (const auto& old : replaced)
        add_endpoint(++last_endpoint_, old.entry.replica_group, old.entry.zone, now_ - 100'000);
    publish(EndpointListKind::changes);
}

void Fleet::fail_over(int group) {
    Endpoint* new_primary = nullptr;
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint.entry.replica_group != group) continue;
        if (endpoint.primary) {
            endpoint.primary = false;
            endpoint.hung = random_.one_in(2);
        } else if (endpoint.entry.state == EndpointState::ready && (!new_primary || random_.one_in(2))) {
            new_primary = &endpoint;
        }
    }
    if (new_primary) new_primary->primary = new_primary->entry.listed_primary = true;
}

void Fleet::publish(EndpointListKind list_kind) {
    const auto entries = std::make_shared<const std::vector<EndpointEntry>>(endpoint_list());
    for (std::size_t i = 0; i < routers_.size(); ++i)
        if (!random_.one_in(5))
            schedule(1'000 * random_.below(300), static_cast<int>(i), EndpointList{list_kind, entries});
}

std::vector<EndpointEntry> Fleet::endpoint_list() const {
    std::vector<EndpointEntry> out;
    for (const auto& [id, endpoint] : endpoints_)
        if (endpoint.entry.state != EndpointState::removed) out.push_back(endpoint.entry);
    return out;
}

// ---- clients ----
void Fleet::add_arrivals() {
    const bool burst = (now_ - start_) / 1'000'000 % 5 == 3;
    const auto per_second = scenario_.requests_per_second * (burst ? 2 : 1);
    const auto count = per_second / 1'000 + (random_.below(1'000) < per_second % 1'000 ? 1 : 0);
    for (std::int64_t i = 0; i < count; ++i) {
        auto& router = routers_[static_cast<std::size_t>(random_.below(scenario_.routers))];
        Arrival arrival;
        arrival.request = ++last_request_;
        const auto classes = static_cast<std::int64_t>(scenario_.settings.classes.size());
        arrival.request_class = static_cast<int>(random_.one_in(500) ? classes : random_.below(classes));
        arrival.session = random_.one_in(3) ? 0 : 1 + static_cast<SessionId>(random_.below(50));
        arrival.deadline = now_ + 20'000 + 1'000 * random_.below(600);
        // Half of all requests and a share of the rest go to replica group 0.
        arrival.replica_group = random_.one_in(2) ? 0 : static_cast<int>(random_.below(scenario_.groups));
        if (random_.one_in(2)) arrival.last_write_age_us = 1'000 * random_.below(2'000);
        router.requests[arrival.request].arrival = arrival;
        router.events.emplace_back(arrival);
        if (random_.one_in(15)) disconnect_recent_client(router);
    }
}

void Fleet::disconnect_recent_client(Router& router) {
    const auto age = static_cast<RequestId>(random_.below(20 * scenario_.routers));
    const auto found = router.requests.lower_bound(last_request_ - std::min(age, last_request_));
    if (found == router.requests.end() || !found->second.open) return;
    found->second.open = false;
    router.events.emplace_back(ClientDisconnected{found->first});
}

// ---- actions of routers ----
void Fleet::carry_out(int router, const std::vector<Action>& actions) {
    trace_.print_actions(now_, router, actions);
    for (const auto& action : actions) std::visit([&](const auto& a) { handle(router, a); }, action);
}

Micros Fleet::service_time(Endpoint& endpoint, int request_class) {
    const Micros work_us = (request_class == 3 ? 6'000 : 1'500) + random_.below(3'000);
    const bool in_slow_start = now_ - endpoint.entry.started_at < scenario_.settings.slow_start_duration_us;
    return work_us * endpoint.slow_factor * (in_slow_start ? 2 : 1);
}

ReplicationStatus Fleet::replication_status(const Endpoint& endpoint) {
    ReplicationStatus out;
    if (random_.one_in(4)) return out;
    out.role = endpoint.primary ? Role::primary : Role::replica;
    if (random_.one_in(4)) return out;
    out.position = now_ - (endpoint.primary ? 0 : endpoint.lag_us);
    return out;
}

// Returns how the attempt ends unless it is cancelled. `latency_us` is the delay from now to that end.
AttemptEnded Fleet::attempt_result(const Request& request, const Forward& action) {
    AttemptEnded end;
    end.request = action.request;
    end.attempt = request.attempts;
    end.endpoint = action.endpoint;
    end.on_reused_connection = random_.one_in(2);
    const Micros time_left_us = std::max<Micros>(0, request.arrival.deadline - now_);
    const Micros timeout_us =
        action.timeout_us > 0 ? std::min(action.timeout_us, time_left_us) : time_left_us;
    auto& endpoint = endpoints_[action.endpoint];
    if (!endpoint.running || random_.one_in(200)) {
        end.outcome = Outcome::connect_failed;
        end.latency_us = kRoundTripUs;
        return end;
    }
    if (endpoint.hung) {
        end.outcome = Outcome::timeout;
        end.latency_us = timeout_us;
        return end;
    }
    const auto index = static_cast<std::size_t>(request.arrival.request_class);
    const auto consistency = scenario_.settings.classes[index].consistency;
    const bool is_write = scenario_.settings.classes[index].is_write;
    const bool checks_position = scenario_.settings.position_check != PositionCheck::none;
    const bool lags = consistency != Consistency::any && endpoint.lag_us > 400'000;
    end.status = replication_status(endpoint);
    end.reported_status = replication_status(endpoint);
    end.latency_us = kRoundTripUs;
    if (!endpoint.primary && (is_write || (checks_position && lags))) {
        end.outcome = Outcome::not_eligible;
        return end;
    }
    if (endpoint.busy_until > now_ + kMaxQueueUs) {
        end.outcome = Outcome::overloaded;
        return end;
    }
    endpoint.busy_until =
        std::max(endpoint.busy_until, now_) + service_time(endpoint, request.arrival.request_class);
    end.latency_us += endpoint.busy_until - now_;
    end.outcome = endpoint.failing ? Outcome::error : endpoint.resetting ? Outcome::reset : Outcome::ok;
    if (end.latency_us <= timeout_us) return end;
    end.outcome = Outcome::timeout;
    end.latency_us = timeout_us;
    return end;
}

void Fleet::handle(int router, const Forward& action) {
    auto& request = routers_[static_cast<std::size_t>(router)].requests[action.request];
    auto end = attempt_result(request, action);
    ++request.attempts;
    if (!request.open) {
        end.outcome = Outcome::expired;
        end.latency_us = 0;
    }
    if (end.outcome == Outcome::ok && random_.one_in(50)) {
        schedule(end.latency_us, router,
                 ResponseStarted{end.request, end.attempt, end.endpoint, end.latency_us});
        end.latency_us += 50'000;
    }
    schedule(end.latency_us, router, end);
}

void Fleet::handle(int router, const Reject& action) {
    routers_[static_cast<std::size_t>(router)].requests[action.request].open = false;
}
void Fleet::handle(int router, const Fail& action) {
    routers_[static_cast<std::size_t>(router)].requests[action.request].open = false;
}

void Fleet::handle(int router, const Cancel& action) {
    AttemptEnded end;
    end.request = action.request;
    end.attempt = action.attempt;
    end.outcome = Outcome::cancelled;
    end.request_ended = true;
    schedule(kRoundTripUs, router, end);
}

void Fleet::handle(int router, const SetTimer& action) {
    schedule(action.delay_us, router, TimerFired{action.token});
}

void Fleet::handle(int router, const StartHealthCheck& action) {
    const auto& endpoint = endpoints_[action.endpoint];
    HealthCheckEnded end;
    end.endpoint = action.endpoint;
    end.latency_us = endpoint.hung ? 250'000 : kRoundTripUs;
    end.outcome = endpoint.hung ? Outcome::timeout : endpoint.running ? Outcome::ok : Outcome::connect_failed;
    if (end.outcome == Outcome::ok) end.reported_status = replication_status(endpoint);
    schedule(end.latency_us, router, end);
}

void Fleet::handle(int router, const PollDiscovery&) {
    const Micros delay = 1'000 + 1'000 * random_.below(20);
    if (discovery_up_ && !random_.one_in(5)) {
        const auto entries = std::make_shared<const std::vector<EndpointEntry>>(endpoint_list());
        schedule(delay, router, EndpointList{EndpointListKind::complete, entries});
        return;
    }
    FailedPoll poll;
    poll.rejected = random_.one_in(2);
    if (random_.one_in(2)) poll.duration_us = delay;
    schedule(delay, router, EndpointList{EndpointListKind::failed, nullptr, poll});
}

// ---- events to routers ----
void Fleet::schedule(Micros delay, int router, Event event) {
    pending_.push(Pending{now_ + delay, ++scheduled_, router, std::move(event)});
}

void Fleet::deliver(const Pending& pending) {
    auto& router = routers_[static_cast<std::size_t>(pending.router)];
    auto event = pending.event;
    if (auto* end = std::get_if<AttemptEnded>(&event)) {
        auto& request = router.requests[end->request];
        end->request_ended = !request.open || end->outcome == Outcome::ok;
        if (end->request_ended) request.open = false;
    }
    router.events.push_back(std::move(event));
}

void Fleet::step_routers() {
    std::vector<Action> actions;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
        auto& router = routers_[i];
        if (router.events.empty()) continue;
        for (const auto& event : router.events) trace_.count_event(kind_of(event));
        actions.clear();
        router.router->step(now_, router.events, actions);
        router.events.clear();
        carry_out(static_cast<int>(i), actions);
    }
}

}  // namespace decision_trace
