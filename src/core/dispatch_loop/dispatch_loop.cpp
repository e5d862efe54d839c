#include "dispatch_loop/dispatch_loop.h"

#include <algorithm>

#include "invariant/invariant.h"
#include "log/log.h"

namespace sloestack::dispatch {
namespace {

using decision::EndpointListKind;
using decision::Outcome;

// How long after a client's deadline the module may still be about to answer; within the slack of the rules.
constexpr Micros kOverdue = 30'000;

}  // namespace

Proxy::Proxy(Deadlines& deadlines, const decision::Settings& settings, std::uint64_t seed,
             metrics::Numbers& numbers)
    : deadlines_(deadlines), numbers_(numbers), router_(settings, seed) {}

void Proxy::attach(Hands hands) { hands_.emplace(std::move(hands)); }

// ---- the turn ----
void Proxy::turn() {
    deadlines_.sweep();
    while (!events_.empty()) step();
}

void Proxy::step() {
    stepping_.swap(events_);
    std::vector<traffic::RequestId> told;
    told.swap(closed_);
    actions_.clear();
    router_.step(deadlines_.now(), stepping_, actions_);
    stepping_.clear();
    for (const auto& action : actions_) std::visit([this](const auto& a) { act(a); }, action);
    for (const auto id : told) open_.erase(id);
}

// ---- events ----
traffic::RequestId Proxy::submit(traffic::Request request, traffic::ResponseSink& sink) {
    const auto id = request.arrival.request = ++last_;
    auto& open = open_[id];
    open.sink = &sink;
    open.statement = std::move(request.statement);
    open.request_class = request.arrival.request_class;
    open.deadline = request.arrival.deadline;
    open.overdue.set(deadlines_, open.deadline + kOverdue, [this, id] { overdue(id); });
    events_.emplace_back(request.arrival);
    return id;
}

void Proxy::cancel_request(traffic::RequestId request) {
    const auto found = open_.find(request);
    const int started = found == open_.end() ? -1 : found->second.started;
    if (!close(request)) return;
    // Of a begun answer the module knows no more: who leaves ends it here.
    if (started >= 0)
        hands_->members.cancel_attempt(request, started);
    else
        events_.emplace_back(decision::ClientDisconnected{request});
}

bool Proxy::is_request_active(traffic::RequestId request) {
    const auto found = open_.find(request);
    if (found == open_.end() || !found->second.sink) return false;
    if (!found->second.sink->client_disconnected()) return deadlines_.now() < found->second.deadline;
    cancel_request(request);
    return false;
}

bool Proxy::on_answer_started(const decision::AnswerStarted& start, const traffic::ResultValue& head,
                              std::size_t size, traffic::ResponseSource& source) {
    const auto found = open_.find(start.request);
    if (found == open_.end() || !found->second.sink || found->second.started >= 0) return false;
    found->second.started = start.attempt;
    found->second.overdue.clear();  // once begun it has no deadline
    events_.emplace_back(start);
    found->second.sink->on_value_started(head, size, source);
    return true;
}

void Proxy::on_value_chunk(traffic::RequestId request, std::string_view bytes) {
    const auto found = open_.find(request);
    if (found != open_.end() && found->second.sink) found->second.sink->on_value_chunk(bytes);
}

void Proxy::on_attempt_ended(const decision::AttemptEnded& end, std::optional<traffic::ResultValue> value) {
    auto event = end;
    SLOESTACK_INVARIANT(value.has_value() == (end.outcome == Outcome::ok), "served means a value");
    const auto found = open_.find(end.request);
    const int started = found == open_.end() ? -1 : found->second.started;
    if (found != open_.end()) numbers_.ended(found->second.request_class, end.outcome);
    // The first answer goes to the client as it is and ends the request, without asking the module.
    if (started >= 0 ? started == end.attempt : value.has_value())
        if (auto* sink = close(end.request)) {
            if (started < 0)
                sink->on_value(*value);
            else if (value)
                sink->on_value_completed(value->command_tag);
            else
                sink->on_value_aborted();
        }
    event.request_ended = found == open_.end() || !found->second.sink;
    events_.emplace_back(event);
}

void Proxy::on_health_check_ended(const decision::HealthCheckEnded& end) { events_.emplace_back(end); }

void Proxy::on_endpoint_list(EndpointListKind kind, std::vector<traffic::ListedEndpoint> entries) {
    if (kind != EndpointListKind::changes) ready_.clear();
    auto servers = std::make_shared<std::vector<decision::EndpointEntry>>();
    for (const auto& e : entries) {
        servers->push_back(e.endpoint);
        if (e.endpoint.state == decision::EndpointState::ready)
            ready_.insert(e.endpoint.endpoint);
        else
            ready_.erase(e.endpoint.endpoint);
        groups_.insert(e.endpoint.replica_group);
    }
    // Told to the module first: attempts that the change takes back are decided anew by the new list.
    events_.emplace_back(decision::EndpointList{kind, std::move(servers)});
    hands_->list_changed(kind, entries);
}

void Proxy::on_poll_failed(const decision::FailedPoll& call) {
    events_.emplace_back(decision::EndpointList{EndpointListKind::failed, nullptr, call});
}

// ---- actions ----
traffic::ResponseSink* Proxy::close(traffic::RequestId request) {
    const auto found = open_.find(request);
    if (found == open_.end()) return nullptr;
    auto* sink = std::exchange(found->second.sink, nullptr);
    if (!sink) return nullptr;
    found->second.overdue.clear();
    closed_.push_back(request);
    return sink;
}

void Proxy::act(const decision::Forward& a) {
    const auto found = open_.find(a.request);
    if (!SLOESTACK_INVARIANT(found != open_.end(), "the module sends only what is open")) return;
    auto& open = found->second;
    const Time now = deadlines_.now();
    if (!open.sink) {
        // Answered or left by its client in the round that had the module send it again. Guards against an
        // attempt whose end the module waits for without end, taking its member to be silent.
        decision::AttemptEnded e;
        e.request = a.request;
        e.attempt = open.attempts++;
        e.endpoint = a.endpoint;
        e.outcome = Outcome::expired;
        e.request_ended = true;
        events_.emplace_back(e);
        return;
    }
    traffic::Attempt attempt;
    attempt.request = a.request;
    attempt.number = open.attempts++;
    attempt.request_class = open.request_class;
    attempt.endpoint = a.endpoint;
    attempt.statement = open.statement;
    attempt.timeout_at = a.timeout_us > 0 ? std::min(open.deadline, now + a.timeout_us) : open.deadline;
    if (a.begin_within_us) attempt.start_by = now + *a.begin_within_us;
    hands_->members.send(attempt);
}

traffic::ResponseSink* Proxy::give_up(traffic::RequestId request, decision::RejectionReason cause) {
    auto* sink = close(request);
    if (sink) numbers_.given_up(open_.at(request).request_class, cause);
    return sink;
}

void Proxy::act(const decision::Reject& a) {
    if (auto* sink = give_up(a.request, a.reason)) sink->on_rejected(a.retry_after_us);
}

void Proxy::act(const decision::Fail& a) {
    if (auto* sink = give_up(a.request, a.reason)) sink->on_failed();
}

void Proxy::act(const decision::Cancel& a) { hands_->members.cancel_attempt(a.request, a.attempt); }

void Proxy::act(const decision::SetTimer& a) {
    deadlines_.add(deadlines_.now() + a.delay_us,
                   [this, token = a.token] { events_.emplace_back(decision::TimerFired{token}); });
}

void Proxy::act(const decision::StartHealthCheck& a) { hands_->members.start_health_check(a.endpoint); }
void Proxy::act(const decision::PollDiscovery&) { hands_->watch_list(); }
void Proxy::act(const decision::Log& a) { log::line("decision", a.text); }

// Every request is answered in time, whatever the module does: one it has left lying is failed and counted.
void Proxy::overdue(traffic::RequestId request) {
    SLOESTACK_INVARIANT(false, "the module answers every request in time");
    events_.emplace_back(decision::ClientDisconnected{request});
    if (auto* sink = close(request)) sink->on_failed();
}

}  // namespace sloestack::dispatch
