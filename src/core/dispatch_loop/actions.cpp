#include <algorithm>

#include "dispatch_loop/dispatch_loop.h"
#include "invariant/invariant.h"
#include "log/log.h"

namespace sloestack::dispatch {

void DispatchLoop::execute(const decision::Forward& forward) {
    auto* request = requests_.find(forward.request);
    if (!SLOESTACK_INVARIANT(request, "the decision module forwards only open requests")) return;
    if (!request->sink) return expire_attempt(forward, *request);
    traffic::Attempt attempt;
    attempt.request = forward.request;
    attempt.number = request->attempt_count++;
    attempt.request_class = request->request_class;
    attempt.endpoint = forward.endpoint;
    attempt.statement = request->statement;
    attempt.timeout_at = request->deadline;
    if (forward.timeout_us > 0)
        attempt.timeout_at = std::min(attempt.timeout_at, step_began_at_ + forward.timeout_us);
    if (forward.deliver_within_us) attempt.deliver_by = step_began_at_ + *forward.deliver_within_us;
    targets_->attempt_sender.send(attempt);
}

// Reports the end of an attempt whose request was closed in the step that forwarded it. Without this report
// the decision module would wait for the attempt's end for ever and treat the endpoint as unresponsive.
void DispatchLoop::expire_attempt(const decision::Forward& forward, OpenRequest& request) {
    decision::AttemptEnded end;
    end.request = forward.request;
    end.attempt = request.attempt_count++;
    end.endpoint = forward.endpoint;
    end.outcome = decision::Outcome::expired;
    end.request_ended = true;
    queued_events_.emplace_back(end);
}

traffic::ResponseSink* DispatchLoop::close_unserved(traffic::RequestId id, decision::RejectionReason reason) {
    auto* sink = requests_.close(id);
    if (sink) metrics_.count_unserved(requests_.find(id)->request_class, reason);
    return sink;
}

void DispatchLoop::execute(const decision::Reject& reject) {
    if (auto* sink = close_unserved(reject.request, reject.reason)) sink->on_rejected(reject.retry_after_us);
}

void DispatchLoop::execute(const decision::Fail& fail) {
    if (auto* sink = close_unserved(fail.request, fail.reason)) sink->on_failed();
}

void DispatchLoop::execute(const decision::Cancel& cancel) {
    targets_->attempt_sender.cancel_attempt(cancel.request, cancel.attempt);
}

void DispatchLoop::execute(const decision::SetTimer& timer) {
    deadlines_.add(deadlines_.now() + timer.delay_us,
                   [this, token = timer.token] { queued_events_.emplace_back(decision::TimerFired{token}); });
}

void DispatchLoop::execute(const decision::StartHealthCheck& check) {
    targets_->attempt_sender.start_health_check(check.endpoint);
}

void DispatchLoop::execute(const decision::PollDiscovery&) { targets_->poll_discovery(); }

void DispatchLoop::execute(const decision::Log& entry) { log::line("decision", entry.text); }

}  // namespace sloestack::dispatch
