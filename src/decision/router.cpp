// Router: dispatches events to the components and collects their actions. Each component makes one decision,
// has its own file in this folder and is listed in docs/DECISIONS.md.
#include "sloestack/router.h"

#include <algorithm>
#include <utility>

#include "deadline_queue.h"
#include "discovery_poll_schedule.h"
#include "endpoint_registry.h"
#include "load_balancer.h"
#include "outlier_detection.h"
#include "pending_queue.h"
#include "primary_tracker.h"
#include "read_admission.h"
#include "read_consistency.h"
#include "request_lifecycle.h"
#include "retry_policy.h"
#include "router_state.h"
#include "slow_start.h"
#include "write_throttle.h"
#include "zone_failover.h"

namespace sloestack::decision {
namespace {

// Resolution of everything that depends on time alone: silence, deadlines of requests, health checks.
constexpr Micros kTickIntervalUs = 5'000;
constexpr Micros kCleanupIntervalUs = 1'000'000;
constexpr std::uint32_t kTickTimer = 1;
constexpr std::uint32_t kPollTimer = 2;

// Identifies this router in the selection of endpoint subsets.
std::uint64_t subset_key(const Settings& settings, std::uint64_t seed) {
    return settings.router_index >= 0 ? static_cast<std::uint64_t>(settings.router_index) : seed;
}

Settings validated(Settings settings) {
    validate(settings);
    return settings;
}

}  // namespace

class Router::Impl {
public:
    Impl(Settings settings, std::uint64_t seed)
        : state_(validated(std::move(settings)), seed),
          poll_backoff_(state_.settings),
          retry_policy_(state_.settings),
          slow_start_(state_.settings),
          write_throttle_(state_.settings),
          read_admission_(state_.settings.router_count),
          read_consistency_(state_),
          primary_tracker_(state_, retry_policy_, slow_start_),
          outlier_detection_(state_, primary_tracker_),
          load_balancer_(state_, retry_policy_, slow_start_, read_consistency_, primary_tracker_,
                         outlier_detection_),
          lifecycle_(state_, retry_policy_, slow_start_),
          pending_queue_(state_, load_balancer_, retry_policy_, primary_tracker_, lifecycle_, deadlines_),
          registry_(state_, primary_tracker_, subset_key(state_.settings, seed)),
          zone_failover_(state_, load_balancer_, lifecycle_, retry_budget_) {}

    void step(Time now, const std::vector<Event>& events, Actions& actions) {
        state_.now = now;
        if (state_.started_at < 0) start(actions);
        for (const auto& event : events) std::visit([&](const auto& kind) { on(kind, actions); }, event);
        give_up_due_before(state_.now, actions);
        pending_queue_.forward_queued(actions);
    }

    bool meets_consistency(RequestId request_id, EndpointId endpoint_id, Time now) const {
        if (state_.settings.position_check != PositionCheck::none) return true;
        const auto request = state_.requests.find(request_id);
        const auto endpoint = state_.endpoints.find(endpoint_id);
        if (request == state_.requests.end() || endpoint == state_.endpoints.end()) return true;
        if (state_.class_of(request->second).is_write) return true;
        return read_consistency_.is_satisfied_by(endpoint->second, request->second, now);
    }

    std::size_t ejected_endpoint_count() const {
        const auto is_avoided = [this](const auto& entry) {
            return outlier_detection_.is_avoided(entry.second);
        };
        return static_cast<std::size_t>(
            std::count_if(state_.endpoints.begin(), state_.endpoints.end(), is_avoided));
    }

private:
    void start(Actions& actions) {
        state_.started_at = state_.now;
        actions.emplace_back(SetTimer{kTickIntervalUs, kTickTimer});
        if (!state_.settings.discovery_is_polled) return;
        actions.emplace_back(SetTimer{poll_backoff_.first_poll_delay(state_.random.unit()), kPollTimer});
    }

    // ---- requests ----
    void on(const Arrival& arrival, Actions& actions) {
        const auto class_count = state_.settings.classes.size();
        if (arrival.request_class < 0 || static_cast<std::size_t>(arrival.request_class) >= class_count) {
            actions.emplace_back(Reject{arrival.request, 0, RejectionReason::unknown_class});
            return;
        }
        auto& request = state_.requests[arrival.request] = Request{arrival, state_.now};
        request.required_position = read_consistency_.required_position(request);
        deadlines_.add(arrival.deadline, arrival.request);
        retry_budget_.on_arrival();
        auto& group = state_.group(arrival.replica_group);
        state_.startup.on_request(group.id);
        primary_tracker_.on_first_use(group, actions);
        const auto& settings = state_.class_of(request);
        if (settings.is_write)
            admit_write(request, group, actions);
        else
            admit_read(request, group, actions);
    }

    void admit_write(Request& request, ReplicaGroup& group, Actions& actions) {
        group.throttle.write_weight.add(state_.now, state_.class_of(request).priority_weight);
        if (WriteThrottle::admit(group, state_.now)) return pending_queue_.dispatch(request, actions);
        const Micros retry_after_us = WriteThrottle::retry_after_us(group, state_.now, state_.random.unit());
        lifecycle_.reject(request, retry_after_us, RejectionReason::write_throttled, actions);
    }

    void admit_read(Request& request, ReplicaGroup& group, Actions& actions) {
        const double draw = state_.random.unit();
        if (read_admission_.admit(group, request.class_index(), state_.now, draw))
            return pending_queue_.dispatch(request, actions);
        lifecycle_.give_up(request, RejectionReason::read_not_admitted, actions);
    }

    void on(const AttemptEnded& end, Actions& actions) {
        if (auto* endpoint = state_.find_endpoint(end.endpoint)) {
            outlier_detection_.on_attempt_ended(*endpoint, end, actions);
            primary_tracker_.on_status(*endpoint, end.reported_status, actions);
            primary_tracker_.on_status(*endpoint, end.status, actions);
        }
        auto* request = state_.find_request(end.request);
        if (!request) return;
        if (end.attempt < 0 || static_cast<std::size_t>(end.attempt) >= request->attempts.size()) return;
        auto& attempt = request->attempts[static_cast<std::size_t>(end.attempt)];
        if (attempt.is_open) --request->open_attempts;
        attempt.is_open = false;
        attempt.may_have_run = !RetryPolicy::proves_not_run(end.outcome);
        if (end.outcome == Outcome::ok && state_.class_of(*request).is_write) {
            state_.group(request->arrival.replica_group).last_commit_at = state_.now;
            read_consistency_.record_write(*request, end.status.position.value_or(state_.now));
        }
        if (end.request_ended)
            return lifecycle_.close(*request, end.outcome == Outcome::ok ? end.attempt : -1, actions);
        retry(*request, end.outcome, actions);
    }

    // Retries a request whose attempt has ended without ending the request, or gives it up.
    void retry(Request& request, Outcome outcome, Actions& actions) {
        if (state_.now >= request.arrival.deadline)
            return lifecycle_.give_up(request, RejectionReason::deadline_exceeded, actions);
        if (request.open_attempts > 0) return;
        if (!retry_policy_.may_forward(request, state_.now))
            return lifecycle_.give_up(request, RejectionReason::not_retryable, actions);
        // A second error is attributed to the request itself: requests that fail everywhere must not use up
        // the retry budget and load every endpoint. A read fails unnecessarily if two endpoints return errors
        // of their own.
        const bool had_error = request.had_error;
        if (outcome == Outcome::error) request.had_error = true;
        if (outcome == Outcome::error && had_error)
            return lifecycle_.give_up(request, RejectionReason::repeated_error, actions,
                                      state_.settings.max_retry_after_us);
        // An endpoint that declined the request did no work: the next attempt is not charged to the budget.
        if (outcome != Outcome::not_eligible) {
            if (retry_budget_.is_spent())
                return lifecycle_.give_up(request, RejectionReason::retry_budget_exhausted, actions,
                                          retry_policy_.retry_after_us(request));
            retry_budget_.spend();
        }
        pending_queue_.dispatch(request, actions);
    }

    // A started response ends the request: the time that the rest takes also depends on the client and is not
    // attributed to the endpoint.
    void on(const ResponseStarted& start, Actions& actions) {
        AttemptEnded end;
        end.request = start.request;
        end.attempt = start.attempt;
        end.endpoint = start.endpoint;
        end.outcome = Outcome::ok;
        end.latency_us = start.latency_us;
        end.request_ended = true;
        on(end, actions);
    }

    void on(const ClientDisconnected& event, Actions& actions) {
        if (auto* request = state_.find_request(event.request)) lifecycle_.close(*request, -1, actions);
    }

    void on(const SessionWrite& write, Actions&) { read_consistency_.record_write(write); }

    void on(const SessionWriteReports& reports, Actions&) {
        read_consistency_.set_reports_complete(reports.are_complete);
    }

    // ---- endpoints ----
    void on(const HealthCheckEnded& end, Actions& actions) {
        auto* endpoint = state_.find_endpoint(end.endpoint);
        if (!endpoint || end.outcome != Outcome::ok) return;
        // A successful health check shows that the zone is reachable, but not that the endpoint serves
        // requests: it does not restore an ejected endpoint outside a silent zone.
        if (state_.zones.is_silent(endpoint->zone)) outlier_detection_.on_response(*endpoint, actions);
        primary_tracker_.on_status(*endpoint, end.reported_status, actions);
    }

    void on(const EndpointList& list, Actions& actions) {
        if (list.kind == EndpointListKind::failed || !list.entries) {
            const Micros delay_us = poll_backoff_.delay_after_failure(list.failed_poll, state_.random.unit());
            actions.emplace_back(SetTimer{delay_us, kPollTimer});
            return;
        }
        if (list.kind != EndpointListKind::cached) {
            state_.startup.on_list_received();
            poll_backoff_.on_list_received();
        }
        registry_.apply(list.kind, *list.entries, actions);
    }

    // ---- time ----
    void on(const TimerFired& timer, Actions& actions) {
        if (timer.token == kPollTimer) actions.emplace_back(PollDiscovery{});
        if (timer.token != kTickTimer) return;
        tick(actions);
        actions.emplace_back(SetTimer{kTickIntervalUs, kTickTimer});
    }

    void tick(Actions& actions) {
        if (const auto text = state_.startup.take_transition_message(state_.now - state_.started_at))
            actions.emplace_back(Log{*text});
        outlier_detection_.eject_silent(actions);
        zone_failover_.update(actions);
        for (auto& [id, group] : state_.groups) {
            if (const auto* slowest = write_throttle_.update(group, state_))
                actions.emplace_back(endpoint_log("write throttle active: slowest ", *slowest));
            update_work_per_endpoint(group, state_, slow_start_);
            primary_tracker_.repeat_health_checks(group, is_primary_confirmed(group), actions);
        }
        give_up_due_before(state_.now + 2 * kTickIntervalUs, actions);
        deadlines_.remove_ended(state_.requests.size(),
                                [this](RequestId id) { return state_.find_request(id) != nullptr; });
        if (state_.now - last_cleanup_at_ <= kCleanupIntervalUs) return;
        last_cleanup_at_ = state_.now;
        auto oldest_positions = registry_.erase_removed();
        read_consistency_.erase_passed_tokens(oldest_positions);
    }

    bool is_primary_confirmed(const ReplicaGroup& group) {
        const auto* primary = group.primary ? state_.find_endpoint(*group.primary) : nullptr;
        return primary && read_consistency_.trusts_primary(*primary);
    }

    // Gives up requests without attempts in flight whose deadline, or last time to be forwarded, is not after
    // `limit`: two ticks ahead of time, and at the latest in the first step after it, however late the tick
    // is.
    void give_up_due_before(Time limit, Actions& actions) {
        while (const auto id = deadlines_.pop_due(limit)) {
            auto* request = state_.find_request(*id);
            if (!request || request->open_attempts > 0) continue;
            const auto reason =
                request->is_queued ? request->blocked_reason : RejectionReason::deadline_exceeded;
            lifecycle_.give_up(*request, reason, actions);
        }
    }

    RouterState state_;
    PollBackoff poll_backoff_;
    RetryPolicy retry_policy_;
    RetryBudget retry_budget_;
    SlowStart slow_start_;
    WriteThrottle write_throttle_;
    ReadAdmission read_admission_;
    ReadConsistency read_consistency_;
    PrimaryTracker primary_tracker_;
    OutlierDetection outlier_detection_;
    LoadBalancer load_balancer_;
    RequestLifecycle lifecycle_;
    DeadlineQueue deadlines_;
    PendingQueue pending_queue_;
    EndpointRegistry registry_;
    ZoneFailover zone_failover_;

    Time last_cleanup_at_ = 0;
};

Router::Router(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

std::size_t Router::ejected_endpoint_count() const { return impl_->ejected_endpoint_count(); }

bool Router::meets_consistency(RequestId request, EndpointId endpoint, Time now) const {
    return impl_->meets_consistency(request, endpoint, now);
}

void Router::step(Time now, const std::vector<Event>& events, std::vector<Action>& actions) {
    impl_->step(now, events, actions);
}

}  // namespace sloestack::decision
