// The interface of the decision module: the settings, what is reported to a router (events), what it answers
// (actions), and the router itself. The module does no I/O, reads no clock and holds no thread; equal
// settings, seeds and events give equal actions.
//
// All times are microseconds on the caller's clock; names that end in _us are durations in microseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sloestack::decision {

using Time = std::int64_t;
using Micros = std::int64_t;
using RequestId = std::uint64_t;
using EndpointId = std::uint32_t;
using SessionId = std::uint64_t;

// What a read of a class asks of the data: any copy, one no older than a bound, one with all writes of the
// client's own session, or the present.
enum class Consistency { any, bounded_staleness, session, linearizable };
// What forwarding a request again does: nothing more; nothing more within a window and a scope, by a key; it
// may run twice.
enum class Idempotency { idempotent, keyed, none };
// Where a keyed request that is forwarded again is recognised.
enum class IdempotencyScope { replica_group, zone, fleet };
// What an endpoint does with a read for which it lags too far behind.
enum class PositionCheck { none, reject, wait };
// Whether lists name a primary: never, the one at the start, or the present one some time late.
enum class ListedRole { none, initial, delayed };
enum class Role { unknown, primary, replica };
enum class EndpointState { removed, draining, ready };

// Settings of one request class. Defaults are in the field's initializer; a class without a latency objective
// and a deadline is rejected by `validate`.
struct RequestClassSettings {
    bool is_write = false;  // only the primary takes it; its consistency is linearizable then
    Consistency consistency = Consistency::any;
    Idempotency idempotency = Idempotency::idempotent;
    IdempotencyScope idempotency_scope = IdempotencyScope::replica_group;
    Micros idempotency_window_us = 0;  // keyed: how long the key is remembered; over 0
    Micros staleness_bound_us = 0;     // bounded_staleness: over 0
    Micros latency_objective_us = 0;   // full priority weight within it; over 0
    Micros deadline_us = 0;            // no weight after it; over 0
    double priority_weight = 1;
    double late_weight_ratio = 0;  // of the weight: what an answer between objective and deadline counts
};

// Settings of a router; they hold for its life.
struct Settings {
    std::vector<RequestClassSettings> classes;  // at least one; a request names its class by the index
    int router_count = 1;                       // routers that share the fleet; at least 1
    int router_index = -1;                      // this one's, from 0; -1: not known
    int zone = 0;

    bool discovery_is_polled = false;       // the router has to ask for the endpoint list
    bool discovery_agent_is_local = false;  // ... and no other router asks the same agent
    ListedRole listed_role = ListedRole::none;
    bool removal_is_advisory = false;  // only `draining` forbids forwarding; a removed endpoint may be used

    bool last_write_age_reported = false;  // session reads bring the age of their session's last write
    PositionCheck position_check = PositionCheck::none;
    Micros position_wait_us = 0;  // PositionCheck::wait: how long an endpoint waits to catch up

    bool health_checks_allowed = false;
    bool health_checks_report_status = false;  // their results carry position and role
    bool cancel_allowed = false;
    bool hedging_allowed = false;  // a further attempt may be forwarded while another is in flight
    bool retry_after_supported = false;
    Micros max_retry_after_us = 0;
    int max_attempts = 1;  // of one request; at least 1

    double slow_start_min_capacity_ratio = 1;  // of its capacity, right after a start; in (0, 1]
    Micros slow_start_duration_us = 0;         // until it has all of it
    // A starting endpoint fails under this multiple of its present capacity for this long.
    double overload_multiple = 1;
    Micros overload_window_us = 0;

    double cross_zone_cost = 0;  // over 0: reads prefer endpoints of the router's own zone
};

// Throws std::invalid_argument that names the setting which is absent or out of range.
void validate(const Settings& settings);

// ---- events ----

struct EndpointEntry {
    EndpointId endpoint = 0;
    int replica_group = 0;
    int zone = 0;
    double size = 1;
    bool listed_primary = false;
    Time started_at = 0;  // 0: long ago
    EndpointState state = EndpointState::ready;
};
// A list kept from before the start, the changes since the last one, a whole list, or a poll that brought
// none.
enum class EndpointListKind { cached, changes, complete, failed };
struct FailedPoll {
    bool rejected = false;              // there was an answer, but no list
    std::optional<Micros> duration_us;  // since the poll's beginning; absent: as long as polls are waited for
};
struct EndpointList {
    EndpointListKind kind = EndpointListKind::complete;
    std::shared_ptr<const std::vector<EndpointEntry>> entries;  // null where the kind is failed
    FailedPoll failed_poll = {};                                // where the kind is failed
};

// A client's request. The router answers it by exactly one of: an attempt whose answer goes to the client,
// Reject or Fail; or the client disconnects first.
struct Arrival {
    RequestId request = 0;
    int request_class = 0;
    int tenant = 0;
    SessionId session = 0;  // 0: none
    Time deadline = 0;      // the client gives the request up then
    int replica_group = 0;
    std::optional<Micros> work_hint_us;
    std::optional<Micros> last_write_age_us;  // of its session, see Settings::last_write_age_reported
    bool is_retry = false;                    // the client sends it again
};

// How an attempt or a health check ended.
enum class Outcome {
    ok,
    error,           // the endpoint answered with an error; the request may have run
    overloaded,      // the endpoint rejected it: its queue is full
    timeout,         // no answer in time
    connect_failed,  // no connection
    reset,           // the connection broke
    cancelled,
    expired,      // it was never sent: its time was over or its client had gone
    not_eligible  // the endpoint declined it: too far behind, or no primary
};
constexpr std::size_t kOutcomeCount = static_cast<std::size_t>(Outcome::not_eligible) + 1;

// What an answer or a load report says of the endpoint it comes from.
struct ReplicationStatus {
    Role role = Role::unknown;
    std::optional<Time> position;  // all commits up to this time are applied
};
struct AttemptEnded {
    RequestId request = 0;
    int attempt = 0;  // from 0, in the order of the request's Forward actions
    EndpointId endpoint = 0;
    Outcome outcome = Outcome::ok;
    Micros latency_us = 0;
    bool request_ended = false;         // by this attempt's answer, or before it
    bool on_reused_connection = false;  // which had served before and may have been stale
    ReplicationStatus status;           // of the answer itself
    ReplicationStatus reported_status;  // of a load report that came with it; older
};
// The first bytes of an answer have come and go to the client; the rest follows.
struct ResponseStarted {
    RequestId request = 0;
    int attempt = 0;
    EndpointId endpoint = 0;
    Micros latency_us = 0;
};
struct ClientDisconnected {
    RequestId request = 0;
};
struct TimerFired {
    std::uint32_t token = 0;  // of its SetTimer
};
struct HealthCheckEnded {
    EndpointId endpoint = 0;
    Outcome outcome = Outcome::ok;
    Micros latency_us = 0;
    ReplicationStatus reported_status;
};
using Event = std::variant<EndpointList, Arrival, AttemptEnded, ResponseStarted, ClientDisconnected,
                           TimerFired, HealthCheckEnded>;

// ---- actions ----

// Begin an attempt.
struct Forward {
    RequestId request = 0;
    EndpointId endpoint = 0;
    Micros timeout_us = 0;  // 0: it has until the request's deadline
    // Where the request may have run before: the attempt's first byte is written within this time or never.
    std::optional<Micros> begin_within_us = {};
};

// Why a request was given up.
enum class RejectionReason {
    unknown_class,
    write_throttled,         // replicas lag: the proportional throttle did not admit it
    read_not_admitted,       // too few reads of its class are served in time
    no_primary,              // no endpoint is known to take the write
    no_eligible_endpoint,    // none is listed that it may use, or only the one it has just tried
    ejected,                 // those that it may use are ejected, or their zone is silent
    slow_start,              // the budget of a starting endpoint is spent
    at_capacity,             // the endpoints hold as much as this router may give them
    too_stale,               // there is capacity, but no data known to be as new as the class asks for
    deadline_exceeded,       // an attempt was in flight, or waited for a connection, when its time was over
    not_retryable,           // an attempt may have run, or no more are allowed
    retry_budget_exhausted,  // too many further attempts for the requests that arrive
    repeated_error,          // a second endpoint answered with an error
};
constexpr std::size_t kRejectionReasonCount = static_cast<std::size_t>(RejectionReason::repeated_error) + 1;

// Answer the client that nothing has run.
struct Reject {
    RequestId request = 0;
    Micros retry_after_us = 0;  // 0: no advice
    RejectionReason reason = RejectionReason::unknown_class;
};
// Answer the client that the request failed; it may have run.
struct Fail {
    RequestId request = 0;
    RejectionReason reason = RejectionReason::unknown_class;
};
struct Cancel {
    RequestId request = 0;
    int attempt = 0;
};
struct SetTimer {
    Micros delay_us = 0;
    std::uint32_t token = 0;
};
struct StartHealthCheck {
    EndpointId endpoint = 0;
};
struct PollDiscovery {};
struct Log {
    std::string text;
};
using Action = std::variant<Forward, Reject, Fail, Cancel, SetTimer, StartHealthCheck, PollDiscovery, Log>;

// One router. It is not safe for use by several threads.
class Router {
public:
    // Throws std::invalid_argument that names the setting which cannot be run.
    Router(Settings settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    // Takes in all that has happened by `now`, which never goes back, as one step, and appends what is to be
    // done at once.
    void step(Time now, const std::vector<Event>& events, std::vector<Action>& actions);
    // Of the endpoints that may be forwarded to, those that this router avoids: ejected, or in a silent zone.
    std::size_t ejected_endpoint_count() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace sloestack::decision
