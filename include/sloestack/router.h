// The interface of the decision module: what a router is told, what it answers, and the router itself.
// All times are microseconds on the caller's clock; names ending in _us are durations in microseconds.
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

enum class Consistency { any, bounded_staleness, session, linearizable };  // what a class asks of the data
enum class Idempotency { idempotent, keyed, none };                        // what repeating a request does
enum class IdempotencyScope { replica_group, zone, fleet };                // where a keyed repeat is dropped
enum class PositionCheck { none, reject, wait };   // what a server does with a read it lags for
enum class ListedRole { none, initial, delayed };  // what the list's primary mark is worth
enum class Role { unknown, primary, replica };
enum class EndpointState { removed, draining, ready };

struct RequestClassSettings {
    bool is_write = false;                       // goes to the primary alone; its consistency is linearizable
    Consistency consistency = Consistency::any;  // what a read asks of the data
    Idempotency idempotency = Idempotency::idempotent;
    IdempotencyScope idempotency_scope = IdempotencyScope::replica_group;
    Micros idempotency_window_us = 0;  // how long a keyed repeat is dropped
    Micros staleness_bound_us = 0;     // bounded reads only
    Micros latency_objective_us = 0;   // full worth within this
    Micros deadline_us = 0;            // no worth after this
    double priority_weight = 1;
    double late_weight_ratio = 0;  // share of the worth between aim and deadline
};

struct Settings {
    std::vector<RequestClassSettings> classes;
    int router_count = 1;   // routers that share the fleet
    int router_index = -1;  // this one's number among them, from 0; -1 where it is not told
    int zone = 0;
    bool discovery_is_polled = false;       // the list must be asked for
    bool discovery_agent_is_local = false;  // ... of an agent that no other router calls
    bool last_write_age_reported = false;   // session reads carry the age of their last write
    PositionCheck position_check = PositionCheck::none;
    Micros position_wait_us = 0;
    ListedRole listed_role = ListedRole::none;
    bool health_checks_allowed = false;
    bool health_checks_report_status = false;  // probe results carry position and role
    bool cancel_allowed = false;
    bool hedging_allowed = false;
    bool retry_after_supported = false;
    Micros max_retry_after_us = 0;
    int max_attempts = 1;
    bool removal_is_advisory = false;          // only `draining` binds
    double slow_start_min_capacity_ratio = 1;  // least share of its capacity a starting server has
    Micros slow_start_duration_us = 0;
    double overload_multiple = 1;   // a cold server falls over beyond this multiple ...
    Micros overload_window_us = 0;  // ... for this long
    double cross_zone_cost = 0;
};

void validate(
    const Settings& settings);  // throws std::invalid_argument naming the setting that cannot be run

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
enum class EndpointListKind { cached, changes, complete, failed };
struct FailedPoll {
    bool rejected = false;              // by an answer that is no list; else there was none
    std::optional<Micros> duration_us;  // from its beginning; not told: as long as calls are waited for
};
struct EndpointList {
    EndpointListKind kind = EndpointListKind::complete;
    std::shared_ptr<const std::vector<EndpointEntry>> entries;
    FailedPoll failed_poll = {};  // where the kind is failed
};
struct Arrival {
    RequestId request = 0;
    int request_class = 0;
    int tenant = 0;
    SessionId session = 0;
    Time deadline = 0;  // the client gives this try up then
    int replica_group = 0;
    std::optional<Micros> work_hint_us;
    std::optional<Micros> last_write_age_us;
    bool is_retry = false;
};
enum class Outcome {
    ok,
    error,
    overloaded,
    timeout,
    connect_failed,
    reset,
    cancelled,
    expired,
    not_eligible
};
constexpr std::size_t kOutcomeCount = static_cast<std::size_t>(Outcome::not_eligible) + 1;
struct ReplicationStatus {  // what an answer or report says of a server
    Role role = Role::unknown;
    std::optional<Time> position;  // all commits up to this time are applied
};
struct AttemptEnded {
    RequestId request = 0;
    int attempt = 0;
    EndpointId endpoint = 0;
    Outcome outcome = Outcome::ok;
    Micros latency_us = 0;
    bool request_ended = false;
    bool on_reused_connection =
        false;                 // it went out on a connection that had served before and may have been stale
    ReplicationStatus status;  // of the answer itself
    ReplicationStatus reported_status;  // of a report that came with it, older
};
struct AnswerStarted {  // its first bytes have come and go to the client; the rest follows
    RequestId request = 0;
    int attempt = 0;
    EndpointId endpoint = 0;
    Micros latency_us = 0;
};
struct ClientDisconnected {
    RequestId request = 0;
};
struct TimerFired {
    std::uint32_t token = 0;
};
struct HealthCheckEnded {
    EndpointId endpoint = 0;
    Outcome outcome = Outcome::ok;
    Micros latency_us = 0;
    ReplicationStatus reported_status;
};
using Event = std::variant<EndpointList, Arrival, AttemptEnded, AnswerStarted, ClientDisconnected, TimerFired,
                           HealthCheckEnded>;

// ---- actions ----
struct Forward {
    RequestId request = 0;
    EndpointId endpoint = 0;
    Micros timeout_us = 0;
    // A repeat of what may have run: written within that time or not at all, however long its connection
    // takes.
    std::optional<Micros> begin_within_us = {};
};
// Why the router gave a request up.
enum class RejectionReason {
    unknown_class,
    write_throttled,    // a write, by the design's throttle
    read_not_admitted,  // a read, by the share of its class that is served in time
    no_primary,         // a write, and none is known that takes it
    // Where several of these hold, the last is told.
    no_eligible_endpoint,  // none is listed that it may use, or only the one it has just tried
    ejected,               // taken for dead
    slow_start,            // the budget of a cold member is spent
    at_capacity,           // the member has as much as this router may give it
    too_stale,             // there is room, but no data known to be as new as the class asks for
    // After an attempt.
    deadline_exceeded,       // its time was over
    not_retryable,           // the attempt may have run, or no more are allowed
    retry_budget_exhausted,  // no further attempt was earned
    repeated_error,          // a second member answered with an error
};
constexpr std::size_t kRejectionReasonCount = static_cast<std::size_t>(RejectionReason::repeated_error) + 1;

struct Reject {
    RequestId request = 0;
    Micros retry_after_us = 0;
    RejectionReason reason = RejectionReason::unknown_class;
};
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

// One router. It knows only its settings and the events it was given; equal events give equal actions.
class Router {
public:
    Router(Settings settings, std::uint64_t seed);  // throws std::invalid_argument naming the setting
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    // Takes all that happened by `now` as one round and appends what is to be done at once.
    void step(Time now, const std::vector<Event>& events, std::vector<Action>& actions);
    // How many of the servers that may be sent to it avoids by its own choice.
    std::size_t ejected_endpoint_count() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace sloestack::decision
