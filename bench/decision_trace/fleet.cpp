#include "fleet.h"

#include <algorithm>

namespace decision_trace {
namespace {

using namespace sloestack::decision;

constexpr Micros kStep = 1'000;            // us; what happens within it is one step of a router
constexpr Micros kChangeEvery = 250'000;   // us; between the changes of the fleet
constexpr Micros kAvoidedEvery = 100'000;  // us; between looks at how many endpoints are avoided
constexpr Micros kLongestQueue = 60'000;   // us; an endpoint with more to do rejects
constexpr Micros kRoundTrip = 600;         // us

const char* kind(const Event& event) {
    static constexpr const char* kKinds[] = {"list",        "arrival", "attempt-ended",     "answer-started",
                                             "client-gone", "timer",   "health-check-ended"};
    return kKinds[event.index()];
}

}  // namespace

Fleet::Fleet(const Scenario& scenario, Trace& trace)
    : scenario_(scenario), trace_(trace), random_(scenario.seed) {
    for (int group = 0; group < scenario_.groups; ++group)
        for (int member = 0; member < scenario_.members_per_group; ++member) {
            add_endpoint(++last_endpoint_, group, (group + member) % scenario_.zones, 0);
            endpoints_[last_endpoint_].primary = member == 0;
            endpoints_[last_endpoint_].entry.listed_primary = member == 0;
        }
}

void Fleet::play() {
    start_routers();
    for (; now_ < start_ + scenario_.duration_us; now_ += kStep) {
        const Micros since = now_ - start_;
        if (since % kChangeEvery == 0) change_fleet();
        arrive();
        while (!pending_.empty() && pending_.top().at <= now_) {
            deliver(pending_.top());
            pending_.pop();
        }
        step_routers();
        if (since % kAvoidedEvery != 0) continue;
        for (std::size_t i = 0; i < routers_.size(); ++i)
            trace_.avoided(now_, static_cast<int>(i), routers_[i].router->ejected_endpoint_count());
    }
    trace_.summary(scenario_.name);
}

// ---- the course of the day ----
void Fleet::add_endpoint(EndpointId id, int group, int zone, Time started_at) {
    auto& endpoint = endpoints_[id];
    endpoint.entry.endpoint = id;
    endpoint.entry.replica_group = group;
    endpoint.entry.zone = zone;
    endpoint.entry.started_at = started_at;
    endpoint.lag_us = 10'000 + 5'000 * random_.below(8);
}

void Fleet::start_routers() {
    const auto entries = std::make_shared<const std::vector<EndpointEntry>>(list());
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
    const auto quarter = (now_ - start_) / kChangeEvery;  // of a second
    const auto last = scenario_.duration_us / kChangeEvery;
    if (quarter == 6) set_zone_hung(1, true);
    if (quarter == 13) set_zone_hung(1, false);
    if (quarter == 4 || quarter == 16 || quarter == 24) replace_some();
    if (quarter == 8 || quarter == 18 || quarter == 28)
        for (int group = 0; group < scenario_.groups; group += 3) fail_over(group);
    discovery_up_ = !(quarter >= 9 && quarter < 12);
    for (auto& [id, endpoint] : endpoints_) {
        const bool troubled = quarter > 2 && quarter < last - 4;
        endpoint.failing = troubled && random_.one_in(40);
        endpoint.resetting = troubled && random_.one_in(40);
        endpoint.slow_factor = troubled && random_.one_in(20) ? 8 : 1;
        if (random_.one_in(15)) endpoint.hung = troubled && endpoint.entry.zone != 1 && random_.one_in(3);
        // Lag grows over some seconds and shrinks again, so that there are speeds to be seen.
        if (random_.one_in(8)) endpoint.lag_us = 10'000 + 50'000 * random_.below(20);
    }
    if (quarter % 8 == 7) publish(EndpointListKind::complete);
}

void Fleet::set_zone_hung(int zone, bool hung) {
    for (auto& [id, endpoint] : endpoints_)
        if (endpoint.entry.zone == zone) endpoint.hung = hung;
}

// Some endpoints drain, those that drained are gone, and others start in their place; some run again.
void Fleet::replace_some() {
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
    Endpoint* next = nullptr;
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint.entry.replica_group != group) continue;
        if (endpoint.primary) {
            endpoint.primary = false;
            endpoint.hung = random_.one_in(2);
        } else if (endpoint.entry.state == EndpointState::ready && (!next || random_.one_in(2))) {
            next = &endpoint;
        }
    }
    if (next) next->primary = next->entry.listed_primary = true;
}

void Fleet::publish(EndpointListKind list_kind) {
    const auto entries = std::make_shared<const std::vector<EndpointEntry>>(list());
    for (std::size_t i = 0; i < routers_.size(); ++i)
        if (!random_.one_in(5))
            schedule(1'000 * random_.below(300), static_cast<int>(i), EndpointList{list_kind, entries});
}

std::vector<EndpointEntry> Fleet::list() const {
    std::vector<EndpointEntry> out;
    for (const auto& [id, endpoint] : endpoints_)
        if (endpoint.entry.state != EndpointState::removed) out.push_back(endpoint.entry);
    return out;
}

// ---- clients ----
void Fleet::arrive() {
    const bool burst = (now_ - start_) / 1'000'000 % 5 == 3;
    const auto per_step = scenario_.requests_per_second * (burst ? 2 : 1);
    const auto count = per_step / 1'000 + (random_.below(1'000) < per_step % 1'000 ? 1 : 0);
    for (std::int64_t i = 0; i < count; ++i) {
        auto& router = routers_[static_cast<std::size_t>(random_.below(scenario_.routers))];
        Arrival arrival;
        arrival.request = ++last_request_;
        const auto classes = static_cast<std::int64_t>(scenario_.settings.classes.size());
        arrival.request_class = static_cast<int>(random_.one_in(500) ? classes : random_.below(classes));
        arrival.session = random_.one_in(3) ? 0 : 1 + static_cast<SessionId>(random_.below(50));
        arrival.deadline = now_ + 20'000 + 1'000 * random_.below(600);
        // The first group is asked for as often as all others together.
        arrival.replica_group = random_.one_in(2) ? 0 : static_cast<int>(random_.below(scenario_.groups));
        if (random_.one_in(2)) arrival.last_write_age_us = 1'000 * random_.below(2'000);
        router.requests[arrival.request].arrival = arrival;
        router.events.emplace_back(arrival);
        if (random_.one_in(15)) leave(router);
    }
}

void Fleet::leave(Router& router) {
    const auto recent = static_cast<RequestId>(random_.below(20 * scenario_.routers));
    const auto found = router.requests.lower_bound(last_request_ - std::min(recent, last_request_));
    if (found == router.requests.end() || !found->second.open) return;
    found->second.open = false;
    router.events.emplace_back(ClientDisconnected{found->first});
}

// ---- what routers ask for ----
void Fleet::carry_out(int router, const std::vector<Action>& actions) {
    trace_.actions(now_, router, actions);
    for (const auto& action : actions) std::visit([&](const auto& a) { act(router, a); }, action);
}

Micros Fleet::service_time(Endpoint& endpoint, int request_class) {
    const Micros work = (request_class == 3 ? 6'000 : 1'500) + random_.below(3'000);
    const bool cold = now_ - endpoint.entry.started_at < scenario_.settings.slow_start_duration_us;
    return work * endpoint.slow_factor * (cold ? 2 : 1);
}

ReplicationStatus Fleet::status(const Endpoint& endpoint) {
    ReplicationStatus out;
    if (random_.one_in(4)) return out;
    out.role = endpoint.primary ? Role::primary : Role::replica;
    if (random_.one_in(4)) return out;
    out.position = now_ - (endpoint.primary ? 0 : endpoint.lag_us);
    return out;
}

// How the attempt ends if nothing cancels it; `latency_us` is when.
AttemptEnded Fleet::answer(const Request& request, const Forward& action) {
    AttemptEnded end;
    end.request = action.request;
    end.attempt = request.attempts;
    end.endpoint = action.endpoint;
    end.on_reused_connection = random_.one_in(2);
    const Micros left = std::max<Micros>(0, request.arrival.deadline - now_);
    const Micros wait = action.timeout_us > 0 ? std::min(action.timeout_us, left) : left;
    auto& endpoint = endpoints_[action.endpoint];
    if (!endpoint.running || random_.one_in(200)) {
        end.outcome = Outcome::connect_failed;
        end.latency_us = kRoundTrip;
        return end;
    }
    if (endpoint.hung) {
        end.outcome = Outcome::timeout;
        end.latency_us = wait;
        return end;
    }
    const auto index = static_cast<std::size_t>(request.arrival.request_class);
    const auto need = scenario_.settings.classes[index].consistency;
    const bool write = scenario_.settings.classes[index].is_write;
    const bool checks = scenario_.settings.position_check != PositionCheck::none;
    const bool behind = need != Consistency::any && endpoint.lag_us > 400'000;
    end.status = status(endpoint);
    end.reported_status = status(endpoint);
    end.latency_us = kRoundTrip;
    if (!endpoint.primary && (write || (checks && behind))) {
        end.outcome = Outcome::not_eligible;
        return end;
    }
    if (endpoint.busy_until > now_ + kLongestQueue) {
        end.outcome = Outcome::overloaded;
        return end;
    }
    endpoint.busy_until =
        std::max(endpoint.busy_until, now_) + service_time(endpoint, request.arrival.request_class);
    end.latency_us += endpoint.busy_until - now_;
    end.outcome = endpoint.failing ? Outcome::error : endpoint.resetting ? Outcome::reset : Outcome::ok;
    if (end.latency_us <= wait) return end;
    end.outcome = Outcome::timeout;
    end.latency_us = wait;
    return end;
}

void Fleet::act(int router, const Forward& action) {
    auto& request = routers_[static_cast<std::size_t>(router)].requests[action.request];
    auto end = answer(request, action);
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

void Fleet::act(int router, const Reject& action) {
    routers_[static_cast<std::size_t>(router)].requests[action.request].open = false;
}
void Fleet::act(int router, const Fail& action) {
    routers_[static_cast<std::size_t>(router)].requests[action.request].open = false;
}

void Fleet::act(int router, const Cancel& action) {
    AttemptEnded end;
    end.request = action.request;
    end.attempt = action.attempt;
    end.outcome = Outcome::cancelled;
    end.request_ended = true;
    schedule(kRoundTrip, router, end);
}

void Fleet::act(int router, const SetTimer& action) {
    schedule(action.delay_us, router, TimerFired{action.token});
}

void Fleet::act(int router, const StartHealthCheck& action) {
    const auto& endpoint = endpoints_[action.endpoint];
    HealthCheckEnded end;
    end.endpoint = action.endpoint;
    end.latency_us = endpoint.hung ? 250'000 : kRoundTrip;
    end.outcome = endpoint.hung ? Outcome::timeout : endpoint.running ? Outcome::ok : Outcome::connect_failed;
    if (end.outcome == Outcome::ok) end.reported_status = status(endpoint);
    schedule(end.latency_us, router, end);
}

void Fleet::act(int router, const PollDiscovery&) {
    const Micros delay = 1'000 + 1'000 * random_.below(20);
    if (discovery_up_ && !random_.one_in(5)) {
        const auto entries = std::make_shared<const std::vector<EndpointEntry>>(list());
        schedule(delay, router, EndpointList{EndpointListKind::complete, entries});
        return;
    }
    FailedPoll call;
    call.rejected = random_.one_in(2);
    if (random_.one_in(2)) call.duration_us = delay;
    schedule(delay, router, EndpointList{EndpointListKind::failed, nullptr, call});
}

// ---- time ----
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
        for (const auto& event : router.events) trace_.count_event(kind(event));
        actions.clear();
        router.router->step(now_, router.events, actions);
        router.events.clear();
        carry_out(static_cast<int>(i), actions);
    }
}

}  // namespace decision_trace
