// Passes the events gathered since the last event-loop iteration to the decision module in one step, and
// carries out the actions that it returns. The dispatch loop makes no decisions itself and depends on the
// client side and the endpoint side only through the interfaces in core/traffic.
//
//   dispatch_loop.cpp  the iteration
//   inputs.cpp         turns callbacks of the client side, the endpoint side and discovery into events
//   actions.cpp        carries out the decision module's actions
#pragma once

#include <functional>
#include <optional>
#include <unordered_set>
#include <vector>

#include "deadlines/deadlines.h"
#include "dispatch_loop/open_requests.h"
#include "metrics/metrics.h"
#include "sloestack/router.h"
#include "traffic/attempt.h"
#include "traffic/endpoint_list.h"
#include "traffic/request.h"

namespace sloestack::dispatch {

// Receivers of actions and endpoint lists. All referenced objects must outlive the loop's last iteration.
struct ActionTargets {
    traffic::AttemptSender& attempt_sender;
    std::function<void()> poll_discovery;
    // Called after the list has been queued for the decision module, so that the module has the new list when
    // it handles attempts that end because of the list.
    std::function<void(decision::EndpointListKind, const std::vector<traffic::ListedEndpoint>&)>
        apply_endpoint_list;
    // Called for a write of a session that has succeeded, before its client receives the response. Only
    // called if the decision module records the writes of sessions.
    std::function<void(const decision::SessionWrite&)> announce_session_write;
};

class DispatchLoop final : public traffic::RequestDispatcher,
                           public traffic::AttemptListener,
                           public traffic::EndpointListListener {
public:
    // `deadlines` and `metrics` are not owned and must outlive the loop. Throws std::invalid_argument, which
    // names the setting, if the decision module cannot run with `settings`.
    DispatchLoop(Deadlines& deadlines, const decision::Settings& settings, std::uint64_t seed,
                 metrics::RequestMetrics& metrics);

    // Must be called before the first event. Not a constructor parameter because the targets are constructed
    // with a reference to the loop.
    void set_targets(ActionTargets targets);
    // Runs the deadlines that are due, then steps the decision module until no event is queued.
    void run_iteration();

    std::size_t open_request_count() const { return requests_.size(); }
    std::size_t ejected_endpoint_count() const { return router_.ejected_endpoint_count(); }

    // A write that another process has acknowledged, and whether all of them are reported. The decision
    // module receives both before the arrivals of the same iteration.
    void on_session_write(const decision::SessionWrite& write) { peer_events_.emplace_back(write); }
    void on_session_write_reports(const decision::SessionWriteReports& reports) {
        peer_events_.emplace_back(reports);
    }

    // RequestDispatcher
    traffic::RequestId submit(traffic::Request request, traffic::ResponseSink& sink) override;
    void cancel_request(traffic::RequestId id) override;
    bool has_ready_endpoints() const override { return !ready_endpoints_.empty(); }
    bool knows_replica_group(int replica_group) const override {
        return replica_groups_.count(replica_group) > 0;
    }
    // AttemptListener
    bool on_response_started(const decision::ResponseStarted& start, const traffic::ResultValue& head,
                             std::size_t size, traffic::ResponseSource& source) override;
    void on_value_chunk(traffic::RequestId id, std::string_view bytes) override;
    void on_attempt_ended(const decision::AttemptEnded& end,
                          std::optional<traffic::ResultValue> value) override;
    void on_health_check_ended(const decision::HealthCheckEnded& end) override;
    traffic::RequestState request_state(traffic::RequestId id) override;
    bool meets_consistency(traffic::RequestId id, traffic::EndpointId endpoint) const override;
    // EndpointListListener
    void on_endpoint_list(decision::EndpointListKind kind,
                          std::vector<traffic::ListedEndpoint> endpoints) override;
    void on_poll_failed(const decision::FailedPoll& poll) override;

private:
    void step();
    void take_step_events();
    void respond(traffic::RequestId id, const OpenRequest& request,
                 const std::optional<traffic::ResultValue>& value);
    void announce_session_write(const OpenRequest& request, const decision::AttemptEnded& end) const;
    void schedule_overdue_check(traffic::RequestId id, OpenRequest& request);
    void on_overdue(traffic::RequestId id);

    void execute(const decision::Forward& forward);
    void execute(const decision::Reject& reject);
    void execute(const decision::Fail& fail);
    void execute(const decision::Cancel& cancel);
    void execute(const decision::SetTimer& timer);
    void execute(const decision::StartHealthCheck& check);
    void execute(const decision::PollDiscovery& poll);
    void execute(const decision::Log& entry);
    void expire_attempt(const decision::Forward& forward, OpenRequest& request);
    // Closes a request that the decision module rejects or fails, and counts the reason. Returns the
    // request's sink, or null if the request is closed already.
    traffic::ResponseSink* close_unserved(traffic::RequestId id, decision::RejectionReason reason);

    Deadlines& deadlines_;
    metrics::RequestMetrics& metrics_;
    decision::Router router_;
    std::optional<ActionTargets> targets_;
    // By request class: whether it writes and the decision module records the writes of its sessions.
    std::vector<bool> records_session_writes_;
    std::vector<decision::Event> queued_events_;
    std::vector<decision::Event> peer_events_;  // about other processes; handled before the queued events
    Time step_began_at_ = 0;                    // durations in the actions of a step count from here
    bool is_step_due_ = false;                  // even without an event
    std::vector<decision::Event> step_events_;  // of the current step; a data member to reuse its memory
    std::vector<decision::Action> actions_;
    OpenRequests requests_;
    std::unordered_set<int> replica_groups_;
    std::unordered_set<traffic::EndpointId> ready_endpoints_;
};

}  // namespace sloestack::dispatch
