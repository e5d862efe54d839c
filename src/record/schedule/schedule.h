// Decides when each recorded step - opening a connection, asking, closing - is due, and what becomes of one
// that cannot go then. Pure: no I/O and no clock; equal calls give equal answers. What is played stays with
// the caller, under a ticket.
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
    clamp,  // a time that goes back counts as the latest seen before it
    sort    // steps are put in order within a window; what is older than that is clamped
};
enum class Late {
    send,  // however late, and said so
    skip   // not at all beyond Settings::late_after, and counted
};

struct Settings {
    double speed = 1;
    std::optional<Stretch> stretch;
    double max_requests_per_second = 0;  // requests; 0: as recorded
    Backwards backwards = Backwards::clamp;
    Micros sort_window = 2'000'000;          // of the file's time
    std::size_t max_open_requests = 50'000;  // requests without an answer at once
    Late late = Late::send;
    Micros late_after = 100'000;  // only for Late::skip
    int rounds = 1;
    std::uint64_t seed = 1;
    // Remembered, some 60 bytes each; the oldest are forgotten first. At 20,000 requests a second, 8 % of
    // them writes, 40 s: eight times the patience of a write's client.
    std::size_t most_keys = 65'536;
};

enum class Step { open, ask, close };
struct Recorded {
    Ticket ticket = 0;
    ConnectionId connection = 0;
    Step step = Step::ask;
    Time at = 0;                    // the file's
    std::string id = {}, key = {};  // of a request; empty where it has none
    bool ahead = false;             // asked without waiting for the answer before it
};

// Why a step was not played at its time.
enum class Held { none, order, id, budget, rate };
enum class Skipped {
    no,
    late,          // see Late::skip
    key_out,       // its key has gone out already, and what became of it does not allow a second time
    fate_unknown,  // a write recorded without its answer, in a later round
    lost           // its connection could not be opened in its time
};
const char* to_text(Skipped why);

struct Due {
    Ticket ticket = 0;
    ConnectionId connection = 0;
    Step step = Step::ask;
    Skipped skipped = Skipped::no;  // other than no: not to be played
    Time due = 0;                   // on the caller's clock
    Micros late = 0;                // how much later it leaves
    Held held = Held::none;         // by what, where the schedule itself held it
};

struct Counters {
    std::uint64_t backwards = 0, sorted = 0, late = 0;
    std::uint64_t held_by_order = 0, held_by_id = 0, held_by_budget = 0, held_by_rate = 0;
    std::uint64_t skipped_late = 0, skipped_key = 0, skipped_fate = 0;
};

// What became of a request that was played.
enum class Fate { refused, answered, unknown };

// How Due names the connections of a round: each round has connections of its own.
constexpr ConnectionId connection_in(int round, ConnectionId recorded) {
    return recorded + (static_cast<ConnectionId>(round) << 40);
}

class Schedule {
public:
    // `start`: when the first step is due, on the caller's clock. Throws std::invalid_argument naming the
    // setting.
    Schedule(const Settings& settings, Time start);

    // The next step, in the file's order. A connection's steps are played in the order in which they are
    // given.
    void add(const Recorded& step);
    // All of one reading of the file has been given; true where it is to be read once more.
    bool end_of_round();
    int round() const { return round_; }

    // The time at which take() gives something next, as far as time alone brings it on.
    std::optional<Time> next() const;
    // What is due by `now`, one step a call; nothing where none is.
    std::optional<Due> take(Time now);
    // A request that take() gave has ended; its connection may ask on.
    void ended(Ticket ticket, Fate fate, Time now);
    // The file holds no answer to the write of that key: it is left out of later rounds.
    void answer_missing(const std::string& key);

    bool over() const { return finished_ && lanes_.empty() && open_.empty() && waiting_.empty(); }
    std::size_t open() const { return open_.size(); }  // requests without their answers
    std::size_t queued() const { return queued_; }     // steps not given out yet
    Time given_up_to() const { return latest_due_; }   // due time of the latest step given in
    const Counters& counters() const { return counters_; }

    // How a name reads in a round: as recorded in the first, and of the same form, but new, in those after
    // it.
    std::string name(std::string_view recorded, int round) const;

private:
    struct Item {
        Recorded step;
        Time due = 0;
        Held held = Held::none;
        int round = 0;
    };
    struct Lane {  // one connection's steps
        std::deque<Item> items;
        std::size_t unanswered = 0;
        bool listed = false;  // in heads_
    };
    using Lanes = std::unordered_map<ConnectionId, Lane>;
    using Head = std::pair<Time, ConnectionId>;
    struct Open {
        ConnectionId connection = 0;
        std::string id, key;
    };

    void release(bool all);
    void enqueue(Recorded step);
    void list(ConnectionId connection, Lane& lane);
    void unlist(ConnectionId connection, Lane& lane);
    bool blocked(const Lane& lane) const;
    Due give(Lanes::iterator lane, Time now, Skipped skipped);
    void hold(Item& item, Held why);
    Skipped judge(const Item& item, Time now) const;
    void remember(const std::string& key);

    Settings settings_;
    Timeline timeline_;
    std::optional<Time> first_;  // the file's time of its first step
    Monotone clock_;
    std::multimap<Time, Recorded> waiting_;             // within the window of Backwards::sort
    std::unordered_map<ConnectionId, Time> latest_of_;  // the latest time of a connection among them
    Time round_start_ = 0, latest_due_ = 0;
    int round_ = 0;
    bool finished_ = false;
    Lanes lanes_;
    std::set<Head> heads_;  // lanes whose first step waits for nothing but its time
    std::unordered_map<std::string, std::list<ConnectionId>> waits_for_id_;
    std::unordered_map<Ticket, Open> open_;
    std::unordered_set<std::string> open_ids_;
    // By a hash of 64 bits: a chance collision among 65,536 has odds of 10^-10, and would skip one write.
    std::unordered_map<std::uint64_t, Fate> keys_;
    std::deque<std::uint64_t> keys_by_age_;
    std::unordered_set<std::string> missing_;  // keys of writes recorded without their answers
    Time next_by_rate_ = 0;
    std::size_t queued_ = 0;
    Counters counters_;
};

// When to try again to reach an address that did not answer: doubled, spread, bounded. Pure.
class Backoff {
public:
    Backoff(Micros first, Micros most, std::uint64_t seed) : first_(first), most_(most), state_(seed) {}
    Micros next();  // between half and the whole of the present step
    void reset() { step_ = 0; }

private:
    Micros first_, most_, step_ = 0;
    std::uint64_t state_;
};

}  // namespace sloestack::schedule
