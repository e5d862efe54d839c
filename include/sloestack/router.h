// Public interface of the decision module: settings, events (input of a router), actions (its output) and the
// router itself. The module performs no I/O, reads no clock and starts no threads. Equal settings, seeds and
// events produce equal actions.
//
// Times are in microseconds on the caller's clock, whose origin is arbitrary; names that end in `_us` are
// durations in microseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sloestack::decision {

using Time = std::int64_t;    // a point in time, in microseconds
using Micros = std::int64_t;  // a duration, in microseconds
using RequestId = std::uint64_t;
using EndpointId = std::uint32_t;
using SessionId = std::uint64_t;

// Which data a read accepts: that of any endpoint; data no older than the class's staleness bound; data that
// holds all writes of the client session; or data that holds all commits before the read's arrival.
enum class Consistency { any, bounded_staleness, session, linearizable };
// Whether a request may be executed again: always; while endpoints remember its idempotency key (see
// idempotency_window_us and IdempotencyScope); or never.
enum class Idempotency { idempotent, keyed, none };
// Which endpoints recognize the idempotency key of a request that one of them has executed.
enum class IdempotencyScope { replica_group, zone, fleet };
// What an endpoint does with a read whose required position it has not applied: serves it from its older
// data, rejects it (Outcome::not_eligible), or waits up to Settings::position_wait_us for the position.
enum class PositionCheck { none, reject, wait };
// Which primary endpoint lists name: none, the initial one, or the current one with a delay.
enum class ListedRole { none, initial, delayed };
enum class Role { unknown, primary, replica };
enum class EndpointState { removed, draining, ready };

// Settings of one request class. `validate` requires a latency objective and a deadline.
struct RequestClassSettings {
    bool is_write = false;  // forwarded to the primary only; `consistency` is linearizable then
    Consistency consistency = Consistency::any;
    Idempotency idempotency = Idempotency::idempotent;
    IdempotencyScope idempotency_scope = IdempotencyScope::replica_group;  // used if keyed
    Micros idempotency_window_us = 0;  // if keyed: how long endpoints remember the key; must be over 0
    Micros staleness_bound_us = 0;     // if bounded_staleness: greatest age of the data; must be over 0
    Micros latency_objective_us = 0;   // responses within it have the full priority weight; must be over 0
    Micros deadline_us = 0;            // responses after it have no value; must be over 0
    double priority_weight = 1;        // value of a response; queues are served by weight per work
    // Value of a response between objective and deadline, as a ratio of priority_weight. Decisions do not use
    // it.
    double late_weight_ratio = 0;
};

// Settings of a router; fixed for its lifetime.
struct Settings {
    std::vector<RequestClassSettings> classes;  // at least one; requests refer to a class by its index
    int router_count = 1;  // routers that share the endpoints; at least 1. Budgets are divided by it
    // Index of this router from 0, which selects its endpoint subset; -1: unknown, the seed is used instead.
    int router_index = -1;
    int zone = 0;  // of this router; endpoints of the same zone are preferred

    // ---- discovery ----
    bool discovery_is_polled = false;       // the router emits a first PollDiscovery after its start
    bool discovery_agent_is_local = false;  // polls go to an agent that no other router polls: short backoff
    ListedRole listed_role = ListedRole::none;
    // A removed endpoint may still get requests; only `draining` excludes it.
    bool removal_is_advisory = false;

    // ---- replication ----
    // Arrivals of session reads carry the age of the session's last write; otherwise the router records the
    // position of each session's writes.
    bool last_write_age_reported = false;
    PositionCheck position_check = PositionCheck::none;
    Micros position_wait_us = 0;  // with PositionCheck::wait: how long an endpoint waits for a position

    // ---- actions that the caller supports ----
    bool health_checks_allowed = false;        // enables StartHealthCheck and the detection of silent zones
    bool health_checks_report_status = false;  // HealthCheckEnded carries position and role
    bool cancel_allowed = false;               // enables Cancel
    bool hedging_allowed = false;              // enables a Forward while another attempt is in flight
    bool retry_after_supported = false;        // false: Reject::retry_after_us is always 0
    Micros max_retry_after_us = 0;             // upper bound of Reject::retry_after_us
    int max_attempts = 1;                      // per request; at least 1

    // ---- slow start ----
    double slow_start_min_capacity_ratio = 1;  // capacity right after a start, of the full one; in (0, 1]
    Micros slow_start_duration_us = 0;         // time until the full capacity; 0 disables slow start
    // An endpoint in slow start fails if it receives overload_multiple times its current capacity for
    // overload_window_us. Limits the rate and the burst that routers forward to it.
    double overload_multiple = 1;
    Micros overload_window_us = 0;

    double cross_zone_cost = 0;  // if over 0, reads prefer endpoints of the router's zone
};

// Throws std::invalid_argument that names the first setting which is missing or out of range.
void validate(const Settings& settings);

// ---- events: input of Router::step ----

struct EndpointEntry {
    EndpointId endpoint = 0;
    int replica_group = 0;
    int zone = 0;
    double size = 1;              // relative size of the endpoint; decisions do not use it
    bool listed_primary = false;  // ignored with ListedRole::none
    Time started_at = 0;          // when its process started; 0: not recently
    EndpointState state = EndpointState::ready;
};
// Kind of an endpoint list: stored before the router's start; the entries changed since the previous list; a
// complete list; or the result of a failed poll. Cached and complete lists remove endpoints that they omit.
enum class EndpointListKind { cached, changes, complete, failed };
struct FailedPoll {
    bool rejected = false;              // discovery responded, but not with a list
    std::optional<Micros> duration_us;  // of the poll; absent: PollBackoff::kPollTimeoutUs is assumed
};
// An endpoint list has been received, or a poll has failed. After `failed` the router sets a timer for the
// next PollDiscovery; after a list the caller polls again by itself.
struct EndpointList {
    EndpointListKind kind = EndpointListKind::complete;
    std::shared_ptr<const std::vector<EndpointEntry>> entries;  // null if the kind is failed
    FailedPoll failed_poll = {};                                // used if the kind is failed
};

// A client's request has arrived. It ends in exactly one of these ways: the caller passes an attempt's
// response to the client (AttemptEnded::request_ended or ResponseStarted), the router emits Reject or Fail,
// or the client disconnects first.
struct Arrival {
    RequestId request = 0;  // differs from that of every request that has not ended
    int request_class = 0;  // index into Settings::classes
    int tenant = 0;         // decisions do not use it
    SessionId session = 0;  // client session; 0: none
    Time deadline = 0;      // the client stops waiting at this time
    int replica_group = 0;
    std::optional<Micros> work_hint_us;       // decisions do not use it
    std::optional<Micros> last_write_age_us;  // of the session; see Settings::last_write_age_reported
    bool is_retry = false;                    // marked as a retry by the client; decisions do not use it
};

// Result of an attempt or a health check. `overloaded`, `connect_failed`, `expired` and `not_eligible` prove
// that the attempt did not execute the request; after the others it may have been executed.
enum class Outcome {
    ok,
    error,           // the endpoint responded with an error
    overloaded,      // the endpoint rejected it because its queue was full
    timeout,         // no response within the time-out
    connect_failed,  // no connection could be established
    reset,           // the connection broke
    cancelled,       // by the caller, for instance after a Cancel action
    expired,         // not sent, or not to its end: its time was over or its client disconnected before
    not_eligible     // the endpoint declined it: it lags too far behind or is not the primary
};
constexpr std::size_t kOutcomeCount = static_cast<std::size_t>(Outcome::not_eligible) + 1;

// Replication status of an endpoint, from its response or its load report.
struct ReplicationStatus {
    Role role = Role::unknown;
    std::optional<Time> position;  // all commits up to this time are applied
};
// An attempt has ended. The caller reports exactly one for every Forward action, also if the request has
// ended before: until then the attempt counts as work in flight at its endpoint.
struct AttemptEnded {
    RequestId request = 0;
    int attempt = 0;  // number of the attempt: the request's Forward actions counted from 0
    EndpointId endpoint = 0;
    Outcome outcome = Outcome::ok;
    Micros latency_us = 0;  // from the start of the attempt to its end
    // The response of this attempt was passed to the client, or the request had ended before. Otherwise the
    // router retries the request or gives it up.
    bool request_ended = false;
    bool on_reused_connection = false;  // a reset of such a connection is not counted against the endpoint
    ReplicationStatus status;           // from the response
    ReplicationStatus reported_status;  // from a load report received with the response; older than `status`
};
// The first bytes of an attempt's response were passed to the client, and the rest is streamed. Ends the
// request successfully; of the attempt's later AttemptEnded only the replication status is used.
struct ResponseStarted {
    RequestId request = 0;
    int attempt = 0;
    EndpointId endpoint = 0;
    Micros latency_us = 0;  // from the start of the attempt to the first byte
};
// The client has disconnected: ends the request without a response.
struct ClientDisconnected {
    RequestId request = 0;
};
// The time of a SetTimer action is over.
struct TimerFired {
    std::uint32_t token = 0;  // SetTimer::token
};
// The health check of a StartHealthCheck action has ended.
struct HealthCheckEnded {
    EndpointId endpoint = 0;
    Outcome outcome = Outcome::ok;
    Micros latency_us = 0;  // from its start to its end
    ReplicationStatus reported_status;
};
// A write of a client session that another process of this proxy has acknowledged to its client. Reported
// before the arrivals that have to see it.
struct SessionWrite {
    int replica_group = 0;
    SessionId session = 0;
    Time position = 0;
};
// Whether the caller reports all writes of sessions that other processes of this proxy acknowledge. Without
// this event no other process acknowledges any.
struct SessionWriteReports {
    bool are_complete = true;
};
using Event = std::variant<EndpointList, Arrival, AttemptEnded, ResponseStarted, ClientDisconnected,
                           TimerFired, HealthCheckEnded, SessionWrite, SessionWriteReports>;

// ---- actions: output of Router::step, to be executed in order ----

// Start the request's next attempt at the endpoint, and report its end by AttemptEnded.
struct Forward {
    RequestId request = 0;
    EndpointId endpoint = 0;
    Micros timeout_us = 0;  // 0: until the request's deadline
    // Set if an earlier attempt of a keyed request may have run: the endpoint must have the whole request
    // within this time, or must not get it at all.
    std::optional<Micros> deliver_within_us = {};
};

// Why a request was rejected or failed.
enum class RejectionReason {
    unknown_class,           // Arrival::request_class is not an index into Settings::classes
    write_throttled,         // replicas lag, and the write throttle did not admit the write
    read_not_admitted,       // too few reads of the class meet their latency objective
    no_primary,              // no primary is known for a write
    no_eligible_endpoint,    // no listed endpoint may be used, or only the one of the last attempt
    ejected,                 // the endpoints that may be used are ejected or in a silent zone
    slow_start,              // the slow-start budget of the endpoint is spent
    at_capacity,             // the endpoints have no capacity left for this router
    too_stale,               // there is capacity, but no endpoint known to meet the consistency
    deadline_exceeded,       // the deadline passed during an attempt
    not_retryable,           // an attempt may have run and must not be repeated, or max_attempts is reached
    retry_budget_exhausted,  // the retry budget, a share of the arrivals, is spent
    repeated_error,          // two attempts ended with Outcome::error
};
constexpr std::size_t kRejectionReasonCount = static_cast<std::size_t>(RejectionReason::repeated_error) + 1;

// Respond to the client that its request was not executed or may safely be sent again.
struct Reject {
    RequestId request = 0;
    Micros retry_after_us = 0;  // Retry-After for the client; 0: none
    RejectionReason reason = RejectionReason::unknown_class;
};
// Respond to the client that the request failed and may have been executed.
struct Fail {
    RequestId request = 0;
    RejectionReason reason = RejectionReason::unknown_class;
};
// Abandon an attempt of a request that has ended. Its AttemptEnded is still to be reported.
struct Cancel {
    RequestId request = 0;
    int attempt = 0;
};
// Report TimerFired with the token once, after the delay.
struct SetTimer {
    Micros delay_us = 0;
    std::uint32_t token = 0;
};
// Check the endpoint's health, and report HealthCheckEnded.
struct StartHealthCheck {
    EndpointId endpoint = 0;
};
// Start to poll discovery, and report EndpointList for each list that is received and for a failure.
struct PollDiscovery {};
// Write a line to the log.
struct Log {
    std::string text;
};
using Action = std::variant<Forward, Reject, Fail, Cancel, SetTimer, StartHealthCheck, PollDiscovery, Log>;

// Decides for one proxy which endpoint serves which request. Not thread-safe.
class Router {
public:
    // Copies the settings. `seed` determines all random draws. Throws std::invalid_argument as `validate`.
    Router(Settings settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    // Processes the events that have occurred by `now`, in their order, and appends the resulting actions to
    // `actions`. `now` must not decrease from one call to the next. The first call starts the router's
    // timers; events are processed only in this call.
    void step(Time now, const std::vector<Event>& events, std::vector<Action>& actions);
    // Returns the number of endpoints that are ejected or in a silent zone, and neither draining nor removed.
    std::size_t ejected_endpoint_count() const;
    // Whether the endpoint still meets the consistency of a read that was forwarded to it earlier, by what is
    // known at `now`. Where endpoints check positions themselves, they are left to.
    bool meets_consistency(RequestId request, EndpointId endpoint, Time now) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace sloestack::decision
