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
using ServerId = std::uint32_t;
using SessionId = std::uint64_t;

enum class Need { any, bounded, session, fresh, write };  // what a class asks of the data
enum class Effect { safe, keyed, unsafe };                // what repeating a request does
enum class RepeatScope { group, zone, everywhere };       // where a keyed repeat is dropped
enum class PositionCheck { none, refuse, wait };          // what a server does with a read it lags for
enum class ListedRole { none, initial, delayed };         // what the list's primary mark is worth
enum class Role { unknown, primary, replica };
enum class ServerState { gone, draining, ready };

struct ClassSettings {
    Need need = Need::any;
    Effect effect = Effect::safe;
    RepeatScope repeat_scope = RepeatScope::group;
    Micros repeat_window_us = 0;    // how long a keyed repeat is dropped
    Micros staleness_bound_us = 0;  // bounded reads only
    Micros aim_us = 0;              // full worth within this
    Micros deadline_us = 0;         // no worth after this
    double worth = 1;
    double late_worth = 0;  // share of the worth between aim and deadline
};

struct Settings {
    std::vector<ClassSettings> classes;
    int routers = 1;  // routers that share the fleet
    int rank = -1;    // this one's number among them, from 0; -1 where it is not told
    int zone = 0;
    bool list_on_request = false;   // the list must be asked for
    bool own_agent = false;         // ... of an agent that no other router calls
    bool session_age_told = false;  // session reads carry the age of their last write
    bool positions_in_answers = true;
    PositionCheck position_check = PositionCheck::none;
    Micros position_wait_us = 0;
    ListedRole listed_role = ListedRole::none;
    bool may_probe = false;
    bool probes_report = false;  // probe results carry position and role
    bool may_cancel = false;
    bool second_copies = false;
    bool tells_retry_after = false;
    Micros max_retry_after_us = 0;
    int max_attempts = 1;
    bool gone_is_advice = false;  // only `draining` binds
    double cold_share = 1;        // least share of its capacity a starting server has
    Micros warm_after_us = 0;
    double overload_multiple = 1;   // a cold server falls over beyond this multiple ...
    Micros overload_window_us = 0;  // ... for this long
    double cross_zone_charge = 0;
};

void check(const Settings& settings);  // throws std::invalid_argument naming the setting that cannot be run

// ---- events ----
struct ServerEntry {
    ServerId server = 0;
    int group = 0;
    int zone = 0;
    double size = 1;
    bool listed_primary = false;
    Time started_at = 0;  // 0: long ago
    ServerState state = ServerState::ready;
};
enum class ListKind { cached, changes, complete, failed };
struct FailedCall {
    bool refused = false;           // by an answer that is no list; else there was none
    std::optional<Micros> took_us;  // from its beginning; not told: as long as calls are waited for
};
struct ServerList {
    ListKind kind = ListKind::complete;
    std::shared_ptr<const std::vector<ServerEntry>> entries;
    FailedCall call = {};  // where the kind is failed
};
struct Arrival {
    RequestId request = 0;
    int klass = 0;
    int tenant = 0;
    SessionId session = 0;
    Time not_after = 0;  // the client gives this try up then
    int group = 0;
    std::optional<Micros> work_hint_us;
    std::optional<Micros> last_write_age_us;
    bool repeat = false;
};
enum class Outcome { ok, error, full, timeout, connect_failed, reset, cancelled, moot, miss };
constexpr std::size_t kOutcomes = static_cast<std::size_t>(Outcome::miss) + 1;
const char* name(Outcome outcome);  // as operators read it
struct Standing {                   // what an answer or report says of a server
    Role role = Role::unknown;
    std::optional<Time> position;  // all commits up to this time are applied
};
struct AttemptEnded {
    RequestId request = 0;
    int attempt = 0;
    ServerId server = 0;
    Outcome outcome = Outcome::ok;
    Micros latency_us = 0;
    bool request_ended = false;
    bool on_kept = false;  // it went out on a connection that had served before and may have been stale
    Standing standing;     // of the answer itself
    Standing reported;     // of a report that came with it, older
};
struct AnswerStarted {  // its first bytes have come and go to the client; the rest follows
    RequestId request = 0;
    int attempt = 0;
    ServerId server = 0;
    Micros latency_us = 0;
};
struct ClientGone {
    RequestId request = 0;
};
struct TimerFired {
    std::uint32_t token = 0;
};
struct ProbeEnded {
    ServerId server = 0;
    Outcome outcome = Outcome::ok;
    Micros latency_us = 0;
    Standing reported;
};
using Event =
    std::variant<ServerList, Arrival, AttemptEnded, AnswerStarted, ClientGone, TimerFired, ProbeEnded>;

// ---- actions ----
struct Send {
    RequestId request = 0;
    ServerId server = 0;
    Micros timeout_us = 0;
    // A repeat of what may have run: written within that time or not at all, however long its connection
    // takes.
    std::optional<Micros> begin_within_us = {};
};
// Why the router gave a request up.
enum class Cause {
    unknown_class,
    throttled,     // a write, by the design's throttle
    not_admitted,  // a read, by the share of its class that is served in time
    no_primary,    // a write, and none is known that takes it
    // Where several of these hold, the last is told.
    no_member,       // none is listed that it may use, or only the one it has just tried
    avoided,         // taken for dead
    cold,            // the budget of a cold member is spent
    no_room,         // the member has as much as this router may give it
    not_new_enough,  // there is room, but no data known to be as new as the class asks for
    // After an attempt.
    out_of_time,     // its time was over
    may_not_repeat,  // the attempt may have run, or no more are allowed
    retry_budget,    // no further attempt was earned
    failing,         // a second member answered with an error
};
constexpr std::size_t kCauses = static_cast<std::size_t>(Cause::failing) + 1;
const char* name(Cause cause);  // as operators read it

struct Refuse {
    RequestId request = 0;
    Micros retry_after_us = 0;
    Cause cause = Cause::unknown_class;
};
struct Fail {
    RequestId request = 0;
    Cause cause = Cause::unknown_class;
};
struct Cancel {
    RequestId request = 0;
    int attempt = 0;
};
struct SetTimer {
    Micros delay_us = 0;
    std::uint32_t token = 0;
};
struct Probe {
    ServerId server = 0;
};
struct WatchList {};
struct Log {
    std::string text;
};
using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Probe, WatchList, Log>;

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
    std::size_t avoided() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace sloestack::decision
