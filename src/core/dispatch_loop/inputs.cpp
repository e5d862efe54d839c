#include <utility>

#include "dispatch_loop/dispatch_loop.h"
#include "invariant/invariant.h"

namespace sloestack::dispatch {
namespace {

using decision::EndpointListKind;
using decision::Outcome;

// How long after the client's deadline the dispatch loop waits for the decision module to end the request.
constexpr Micros kOverdueGraceUs = 30'000;

}  // namespace

traffic::RequestId DispatchLoop::submit(traffic::Request submitted, traffic::ResponseSink& sink) {
    auto [id, request] = requests_.add();
    submitted.arrival.request = id;
    request.sink = &sink;
    request.statement = std::move(submitted.statement);
    request.request_class = submitted.arrival.request_class;
    request.replica_group = submitted.arrival.replica_group;
    request.session = submitted.arrival.session;
    request.deadline = submitted.arrival.deadline;
    schedule_overdue_check(id, request);
    queued_events_.emplace_back(submitted.arrival);
    return id;
}

void DispatchLoop::cancel_request(traffic::RequestId id) {
    const auto* request = requests_.find(id);
    if (!requests_.close(id)) return;
    // The decision module treats a request as done once its value has started to arrive, so it would not
    // cancel the attempt; the dispatch loop does.
    if (request->streaming_attempt)
        targets_->attempt_sender.cancel_attempt(id, *request->streaming_attempt);
    else
        queued_events_.emplace_back(decision::ClientDisconnected{id});
}

traffic::RequestState DispatchLoop::request_state(traffic::RequestId id) {
    using traffic::ClientPresence;
    using traffic::RequestState;
    const auto* request = requests_.find(id);
    if (!request || !request->sink || deadlines_.now() >= request->deadline) return RequestState::ended;
    const auto presence = request->sink->client_presence();
    if (presence == ClientPresence::connected) return RequestState::active;
    if (presence == ClientPresence::unverified) return RequestState::unverified;
    cancel_request(id);
    return RequestState::ended;
}

bool DispatchLoop::meets_consistency(traffic::RequestId id, traffic::EndpointId endpoint) const {
    return router_.meets_consistency(id, endpoint, deadlines_.now());
}

bool DispatchLoop::on_response_started(const decision::ResponseStarted& start,
                                       const traffic::ResultValue& head, std::size_t size,
                                       traffic::ResponseSource& source) {
    auto* request = requests_.find(start.request);
    if (!request || !request->sink || request->streaming_attempt) return false;
    request->streaming_attempt = start.attempt;
    request->overdue_check.clear();  // a value that has started to arrive has no deadline
    queued_events_.emplace_back(start);
    request->sink->on_value_started(head, size, source);
    return true;
}

void DispatchLoop::on_value_chunk(traffic::RequestId id, std::string_view bytes) {
    const auto* request = requests_.find(id);
    if (request && request->sink) request->sink->on_value_chunk(bytes);
}

void DispatchLoop::on_attempt_ended(const decision::AttemptEnded& end,
                                    std::optional<traffic::ResultValue> value) {
    SLOESTACK_INVARIANT(value.has_value() == (end.outcome == Outcome::ok),
                        "an attempt has a value if and only if its outcome is ok");
    const auto* request = requests_.find(end.request);
    bool is_response = false;
    if (request) {
        metrics_.count_attempt_ended(request->request_class, end.outcome);
        announce_session_write(*request, end);
        is_response =
            request->streaming_attempt ? *request->streaming_attempt == end.attempt : value.has_value();
    }
    // Queued before the response, on which the client's next query may be submitted.
    auto event = end;
    event.request_ended = is_response || !request || !request->sink;
    queued_events_.emplace_back(event);
    // The first value goes to the client unchanged and ends the request without a decision of the module.
    if (is_response) respond(end.request, *request, value);
}

void DispatchLoop::announce_session_write(const OpenRequest& request,
                                          const decision::AttemptEnded& end) const {
    const auto index = static_cast<std::size_t>(request.request_class);
    const bool is_recorded =
        request.session != 0 && index < records_session_writes_.size() && records_session_writes_[index];
    if (end.outcome != Outcome::ok || !is_recorded) return;
    const Time position = end.status.position.value_or(deadlines_.now());
    targets_->announce_session_write({request.replica_group, request.session, position});
}

void DispatchLoop::respond(traffic::RequestId id, const OpenRequest& request,
                           const std::optional<traffic::ResultValue>& value) {
    auto* sink = requests_.close(id);
    if (!sink) return;
    if (!request.streaming_attempt)
        sink->on_value(*value);
    else if (value)
        sink->on_value_completed(value->command_tag);
    else
        sink->on_value_aborted();
}

void DispatchLoop::on_health_check_ended(const decision::HealthCheckEnded& end) {
    queued_events_.emplace_back(end);
}

void DispatchLoop::on_endpoint_list(EndpointListKind kind, std::vector<traffic::ListedEndpoint> endpoints) {
    if (kind != EndpointListKind::changes) ready_endpoints_.clear();
    auto entries = std::make_shared<std::vector<decision::EndpointEntry>>();
    for (const auto& listed : endpoints) {
        const auto& entry = listed.endpoint;
        entries->push_back(entry);
        if (entry.state == decision::EndpointState::ready)
            ready_endpoints_.insert(entry.endpoint);
        else
            ready_endpoints_.erase(entry.endpoint);
        replica_groups_.insert(entry.replica_group);
    }
    queued_events_.emplace_back(decision::EndpointList{kind, std::move(entries)});
    targets_->apply_endpoint_list(kind, endpoints);
}

void DispatchLoop::on_poll_failed(const decision::FailedPoll& poll) {
    queued_events_.emplace_back(decision::EndpointList{EndpointListKind::failed, nullptr, poll});
}

// If the process stood still, the decision module may not have had a step since the deadline, and its timer
// may not be due: it gets a step before the request counts as overdue.
void DispatchLoop::schedule_overdue_check(traffic::RequestId id, OpenRequest& request) {
    request.overdue_check.set(deadlines_, request.deadline + kOverdueGraceUs, [this, id, &request] {
        is_step_due_ = true;
        request.overdue_check.set(deadlines_, deadlines_.now(), [this, id] { on_overdue(id); });
    });
}

// Fails a request that the decision module has not ended in time, so that a fault in the module cannot leave
// a client without a response.
void DispatchLoop::on_overdue(traffic::RequestId id) {
    SLOESTACK_INVARIANT(false, "the decision module ends every request by its deadline");
    queued_events_.emplace_back(decision::ClientDisconnected{id});
    if (auto* sink = requests_.close(id)) sink->on_failed();
}

}  // namespace sloestack::dispatch
