// Decides when each recorded step (opening a connection, sending a request, closing) is due, and whether a
// step that cannot be played then is delayed or skipped. Has no I/O and no clock: the same calls give the
// same results. The caller keeps the data of each step and refers to it by a ticket.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "schedule/timeline.h"

namespace sloestack::schedule {

using Ticket = std::uint64_t;
using ConnectionId = std::uint64_t;

enum class Backwards {
    clamp,  // a timestamp that goes backwards is replaced by the latest before it
    sort    // steps are sorted within Settings::sort_window; older ones are clamped
};
enum class Late {
    send,  // sends late steps, and reports by how much they are late
    skip   // skips and counts requests that are late by more than Settings::late_after
};

struct Settings {
    double speed = 1;
    std::optional<Stretch> stretch;
    double max_requests_per_second = 0;  // 0: no limit
    Backwards backwards = Backwards::clamp;
    Micros sort_window = 2'000'000;          // microseconds of the file's time
    std::size_t max_open_requests = 50'000;  // requests without a response at the same time
    Late late = Late::send;
    Micros late_after = 100'000;  // requests later than this are counted as late; see also Late::skip
    int rounds = 1;
    std::uint64_t seed = 1;
    // Idempotency keys remembered, some 60 bytes each; the oldest are removed first. At 20,000 requests a
    // second, of which 8 % are writes, this covers 40 s: eight times as long as the client of a write waits.
    std::size_t max_keys = 65'536;
};

enum class Step { open, ask, close };
struct RecordedStep {
    Ticket ticket = 0;
    ConnectionId connection = 0;
    Step step = Step::ask;
    Time at = 0;                    // timestamp in the file
    std::string id = {}, key = {};  // of a request; empty if absent
    bool ahead = false;             // sent before the response to the previous request
};

// What delayed a step beyond its due time: the response to the previous request of its connection, another
// open request with its id, the limit of open requests, or the limit of the request rate.
enum class HoldReason { none, order, id, budget, rate };
// Why a step is not played.
enum class SkipReason {
    none,
    late,              // see Late::skip
    key_already_sent,  // a request with its key was sent and may have run
    outcome_unknown,   // a write without a recorded response, in a later round
    no_connection      // its connection could not be opened before the request's deadline
};
const char* to_text(SkipReason reason);

struct Due {
    Ticket ticket = 0;
    ConnectionId connection = 0;
    Step step = Step::ask;
    SkipReason skipped = SkipReason::none;      // must not be played unless this is none
    Time due = 0;                               // on the caller's clock
    Micros late = 0;                            // time from `due` until take() returned it
    HoldReason hold_reason = HoldReason::none;  // what delayed the step, if the schedule did
};

struct Counters {
    std::uint64_t backwards = 0, sorted = 0, late = 0;
    std::uint64_t held_by_order = 0, held_by_id = 0, held_by_budget = 0, held_by_rate = 0;
    std::uint64_t skipped_late = 0, skipped_key = 0, skipped_fate = 0;
};

// The outcome of a request that was played.
enum class Outcome { refused, answered, unknown };

// Returns the identifier that Due has for a recorded connection: each round has its own connections.
constexpr ConnectionId connection_in(int round, ConnectionId recorded) {
    return recorded + (static_cast<ConnectionId>(round) << 40);
}

class Schedule {
public:
    // `start`: when the first step is due, on the caller's clock. Throws std::invalid_argument if a setting
    // is out of range.
    Schedule(const Settings& settings, Time start);

    // Adds the next step in the order of the file. The steps of a connection are played in the order in which
    // they are added.
    void add(const RecordedStep& step);
    // Ends a round: the whole file was added. Returns true if the file is to be added once more.
    bool end_of_round();
    int round() const { return round_; }

    // Returns when take() will return a step, or std::nullopt if that depends on a call of ended() or add().
    std::optional<Time> next() const;
    // Returns one step that is due by `now`, or std::nullopt if there is none.
    std::optional<Due> take(Time now);
    // Reports the outcome of a request that take() returned; its connection may send the next one.
    void ended(Ticket ticket, Outcome outcome, Time now);
    // Marks the write with that key as one without a response in the file: it is skipped in later rounds.
    void mark_response_missing(const std::string& key);

    bool over() const { return finished_ && queues_.empty() && open_.empty() && sort_buffer_.empty(); }
    std::size_t open() const { return open_.size(); }  // requests without a response
    std::size_t queued() const { return queued_; }     // steps that take() has not returned yet
    Time latest_due() const { return latest_due_; }    // due time of the latest step added
    const Counters& counters() const { return counters_; }

    // Returns the id or key that replaces a recorded one in a round: the recorded one in the first round, and
    // a hash of 16 hexadecimal digits that is unique to the round in later rounds.
    std::string name_in_round(std::string_view recorded, int round) const;

private:
    struct Item {
        RecordedStep step;
        Time due = 0;
        HoldReason hold_reason = HoldReason::none;
        int round = 0;
    };
    struct ConnectionQueue {  // the steps of one connection
        std::deque<Item> items;
        std::size_t unanswered = 0;
        bool is_in_heads = false;  // its first step is in heads_
    };
    using ConnectionQueues = std::unordered_map<ConnectionId, ConnectionQueue>;
    using Head = std::pair<Time, ConnectionId>;
    struct Open {
        ConnectionId connection = 0;
        std::string id, key;
    };

    void release(bool all);
    void enqueue(RecordedStep step);
    void add_head(ConnectionId connection, ConnectionQueue& queue);
    void remove_head(ConnectionId connection, ConnectionQueue& queue);
    bool is_blocked(const ConnectionQueue& queue) const;
    Due dispatch(ConnectionQueues::iterator at, Time now, SkipReason skipped);
    void mark_held(Item& item, HoldReason reason);
    SkipReason skip_reason_of(const Item& item, Time now) const;
    void remember_key(const std::string& key);

    Settings settings_;
    Timeline timeline_;
    std::optional<Time> first_;  // timestamp of the first step in the file
    MonotonicClock clock_;
    std::multimap<Time, RecordedStep> sort_buffer_;  // steps within the window of Backwards::sort
    std::unordered_map<ConnectionId, Time>
        latest_by_connection_;  // latest timestamp of each connection, for Backwards::sort
    Time round_start_ = 0, latest_due_ = 0;
    int round_ = 0;
    bool finished_ = false;
    ConnectionQueues queues_;
    std::set<Head> heads_;  // due times of first steps that only wait for their time
    std::unordered_map<std::string, std::list<ConnectionId>> waits_for_id_;
    std::unordered_map<Ticket, Open> open_;
    std::unordered_set<std::string> open_ids_;
    // Keyed by a 64-bit hash of the key. The probability of a collision among 65,536 keys is 10^-10; a
    // collision would skip one write.
    std::unordered_map<std::uint64_t, Outcome> keys_;
    std::deque<std::uint64_t> keys_by_age_;
    std::unordered_set<std::string> keys_without_response_;  // keys of writes without a recorded response
    Time next_by_rate_ = 0;
    std::size_t queued_ = 0;
    Counters counters_;
};

// Delays between attempts to connect: doubled after each attempt up to a maximum, with random jitter.
class Backoff {
public:
    Backoff(Micros first, Micros max, std::uint64_t seed) : first_(first), max_(max), state_(seed) {}
    Micros next();  // between half of the current step and the whole step
    void reset() { step_ = 0; }

private:
    Micros first_, max_, step_ = 0;
    std::uint64_t state_;
};

}  // namespace sloestack::schedule
