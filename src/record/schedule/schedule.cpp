#include "schedule/schedule.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>

#include "invariant/invariant.h"

namespace sloestack::schedule {
namespace {

constexpr Micros kCatchUp =
    5'000;  // of the cap on the rate: a turn with many answers takes some milliseconds

std::uint64_t hash(const std::string& key) { return XXH3_64bits(key.data(), key.size()); }

}  // namespace

Schedule::Schedule(const Settings& settings, Time start)
    : settings_(settings),
      timeline_(settings.speed, settings.stretch),
      round_start_(start),
      latest_due_(start) {
    if (!(settings.max_requests_per_second >= 0 && settings.max_requests_per_second <= 1e6))
        throw std::invalid_argument("the cap on the rate must lie between 0 (none) and 1000000 a second");
    if (settings.max_open_requests == 0)
        throw std::invalid_argument("at least one request must be allowed to be open");
    if (settings.rounds < 1 || settings.rounds > 1'000'000)
        throw std::invalid_argument("rounds must lie between 1 and 1000000");
    if (settings.sort_window < 0 || settings.late_after < 0)
        throw std::invalid_argument("a window of time must not be negative");
    if (settings.most_keys == 0) throw std::invalid_argument("at least one key must be remembered");
}

// ---- in ----
void Schedule::add(const Recorded& step) {
    if (finished_) return;
    if (settings_.backwards == Backwards::clamp) {
        enqueue(step);
        return;
    }
    // Put in order over all connections, never within one: its bytes were in that order on the wire.
    auto sorted = step;
    auto [latest, fresh] = latest_of_.try_emplace(step.connection, step.at);
    if (!fresh && step.at < latest->second) {
        ++counters_.backwards;
        sorted.at = latest->second;
    }
    latest->second = sorted.at;
    if (!waiting_.empty() && sorted.at < waiting_.rbegin()->first) ++counters_.sorted;
    if (step.step == Step::close) latest_of_.erase(step.connection);
    waiting_.emplace(sorted.at, sorted);  // behind its equals: a multimap keeps their order
    release(false);
}

void Schedule::release(bool all) {
    while (!waiting_.empty() &&
           (all || waiting_.rbegin()->first - waiting_.begin()->first > settings_.sort_window)) {
        enqueue(std::move(waiting_.begin()->second));
        waiting_.erase(waiting_.begin());
    }
}

void Schedule::enqueue(Recorded step) {
    const auto before = clock_.backwards();
    const auto at = clock_.take(step.at);
    counters_.backwards += clock_.backwards() - before;
    if (!first_) first_ = at;
    Item item;
    item.round = round_;
    item.due = round_start_ + timeline_.due(at - *first_);
    item.step = std::move(step);
    item.step.connection = connection_in(round_, item.step.connection);
    if (!item.step.id.empty()) item.step.id = name(item.step.id, round_);
    latest_due_ = std::max(latest_due_, item.due);
    const auto connection = item.step.connection;
    auto& lane = lanes_[connection];
    lane.items.push_back(std::move(item));
    ++queued_;
    if (lane.items.size() == 1) list(connection, lane);
}

bool Schedule::end_of_round() {
    release(true);
    latest_of_.clear();
    ++round_;
    clock_ = Monotone();
    first_.reset();
    round_start_ = latest_due_;
    finished_ = round_ >= settings_.rounds;
    return !finished_;
}

void Schedule::answer_missing(const std::string& key) {
    if (settings_.rounds > 1 && !key.empty()) missing_.insert(key);
}

std::string Schedule::name(std::string_view recorded, int round) const {
    if (round == 0) return std::string(recorded);
    const auto seed = settings_.seed * 1'000'003 + static_cast<std::uint64_t>(round);
    char text[17];
    std::snprintf(
        text, sizeof text, "%016llx",
        static_cast<unsigned long long>(XXH3_64bits_withSeed(recorded.data(), recorded.size(), seed)));
    return text;
}

// ---- which lanes may go on ----
// The next request of a connection waits for the answer to the one before it, as its client did; unless its
// client did not.
bool Schedule::blocked(const Lane& lane) const {
    const auto& head = lane.items.front().step;
    return lane.unanswered > 0 && !(head.step == Step::ask && head.ahead);
}

void Schedule::list(ConnectionId connection, Lane& lane) {
    if (lane.listed || lane.items.empty() || blocked(lane)) return;
    lane.listed = true;
    heads_.insert({lane.items.front().due, connection});
}

void Schedule::unlist(ConnectionId connection, Lane& lane) {
    if (!lane.listed) return;
    lane.listed = false;
    heads_.erase({lane.items.front().due, connection});
}

// The first thing that holds a step is its cause; that it is held is counted once.
void Schedule::hold(Item& item, Held why) {
    if (item.held != Held::none) return;
    item.held = why;
    if (why == Held::order) ++counters_.held_by_order;
    if (why == Held::id) ++counters_.held_by_id;
    if (why == Held::budget) ++counters_.held_by_budget;
    if (why == Held::rate) ++counters_.held_by_rate;
}

// ---- out ----
std::optional<Time> Schedule::next() const {
    if (heads_.empty()) return std::nullopt;
    const auto& first = *heads_.begin();
    const auto& head = lanes_.at(first.second).items.front();
    if (head.step.step != Step::ask) return first.first;
    if (open_.size() >= settings_.max_open_requests && settings_.late == Late::send) return std::nullopt;
    if (open_.size() >= settings_.max_open_requests) return first.first + settings_.late_after + 1;
    return std::max(first.first, next_by_rate_);
}

Skipped Schedule::judge(const Item& item, Time now) const {
    if (settings_.late == Late::skip && now - item.due > settings_.late_after) return Skipped::late;
    if (item.step.key.empty()) return Skipped::no;
    if (item.round > 0 && missing_.count(item.step.key)) return Skipped::fate_unknown;
    // A write goes out once under its key; a second time only where the first was refused, and so never ran.
    const auto known = keys_.find(hash(name(item.step.key, item.round)));
    if (known != keys_.end() && known->second != Fate::refused) return Skipped::key_out;
    return Skipped::no;
}

std::optional<Due> Schedule::take(Time now) {
    while (!heads_.empty() && heads_.begin()->first <= now) {
        const auto at = lanes_.find(heads_.begin()->second);
        auto& lane = at->second;
        auto& item = lane.items.front();
        if (item.step.step != Step::ask) return give(at, now, Skipped::no);
        if (const auto skipped = judge(item, now); skipped != Skipped::no) return give(at, now, skipped);
        // Two clients with one id: the second waits, since a proxy turns away an id that is open.
        if (!item.step.id.empty() && open_ids_.count(item.step.id)) {
            hold(item, Held::id);
            waits_for_id_[item.step.id].push_back(at->first);
            unlist(at->first, lane);
            continue;
        }
        if (open_.size() >= settings_.max_open_requests) {
            hold(item, Held::budget);
            return std::nullopt;
        }
        if (settings_.max_requests_per_second > 0) {
            if (now < next_by_rate_) {
                hold(item, Held::rate);
                return std::nullopt;
            }
            const auto apart = static_cast<Micros>(std::llround(1e6 / settings_.max_requests_per_second));
            // Time not used is not saved up, but for what a turn of the loop may take.
            next_by_rate_ = std::max(next_by_rate_, now - kCatchUp) + apart;
        }
        return give(at, now, Skipped::no);
    }
    return std::nullopt;
}

Due Schedule::give(Lanes::iterator at, Time now, Skipped skipped) {
    auto& lane = at->second;
    unlist(at->first, lane);
    auto item = std::move(lane.items.front());
    lane.items.pop_front();
    --queued_;
    Due out;
    out.ticket = item.step.ticket;
    out.connection = at->first;
    out.step = item.step.step;
    out.skipped = skipped;
    out.due = item.due;
    out.late = std::max<Micros>(0, now - item.due);
    out.held = item.held;
    if (skipped == Skipped::late) ++counters_.skipped_late;
    if (skipped == Skipped::key_out) ++counters_.skipped_key;
    if (skipped == Skipped::fate_unknown) ++counters_.skipped_fate;
    if (out.step == Step::ask && skipped == Skipped::no) {
        if (out.late > settings_.late_after) ++counters_.late;
        ++lane.unanswered;
        const auto key = item.step.key.empty() ? std::string() : name(item.step.key, item.round);
        if (!key.empty()) remember(key);
        if (!item.step.id.empty()) open_ids_.insert(item.step.id);
        const bool fresh = open_.emplace(out.ticket, Open{at->first, item.step.id, key}).second;
        SLOESTACK_INVARIANT(fresh, "a ticket is open once");
    }
    if (lane.items.empty() && lane.unanswered == 0)
        lanes_.erase(at);
    else
        list(at->first, lane);
    return out;
}

void Schedule::remember(const std::string& key) {
    const auto hashed = hash(key);
    if (!keys_.insert_or_assign(hashed, Fate::unknown).second) return;
    keys_by_age_.push_back(hashed);
    if (keys_.size() <= settings_.most_keys) return;
    keys_.erase(keys_by_age_.front());
    keys_by_age_.pop_front();
}

void Schedule::ended(Ticket ticket, Fate fate, Time now) {
    const auto found = open_.find(ticket);
    if (found == open_.end()) return;
    const auto open = std::move(found->second);
    open_.erase(found);
    if (!open.key.empty())
        if (const auto known = keys_.find(hash(open.key)); known != keys_.end()) known->second = fate;
    if (!open.id.empty()) {
        open_ids_.erase(open.id);
        // Those that waited for the id are looked at again, in the order in which they came.
        if (const auto waits = waits_for_id_.find(open.id); waits != waits_for_id_.end()) {
            for (const auto connection : waits->second)
                if (const auto lane = lanes_.find(connection); lane != lanes_.end())
                    list(connection, lane->second);
            waits_for_id_.erase(waits);
        }
    }
    const auto lane = lanes_.find(open.connection);
    if (lane == lanes_.end()) return;
    --lane->second.unanswered;
    if (lane->second.items.empty() && lane->second.unanswered == 0)
        lanes_.erase(lane);
    else if (!lane->second.items.empty()) {
        // One that waits for an id stays off the list until that is free.
        const auto& head = lane->second.items.front();
        if (head.held == Held::id && open_ids_.count(head.step.id)) return;
        // Due before the answer came that it waits for: late by its client's own order, not by the player.
        if (!lane->second.listed && !blocked(lane->second) && head.due < now)
            hold(lane->second.items.front(), Held::order);
        list(open.connection, lane->second);
    }
}

const char* to_text(Skipped why) {
    switch (why) {
        case Skipped::no:
            return "";
        case Skipped::late:
            return "late";
        case Skipped::key_out:
            return "its key has gone out already";
        case Skipped::fate_unknown:
            return "a write whose fate is not recorded";
        case Skipped::lost:
            return "no connection in its time";
    }
    return "";
}

Micros Backoff::next() {
    step_ = step_ == 0 ? first_ : std::min(step_ * 2, most_);
    state_ = state_ * 6364136223846793005u + 1442695040888963407u;  // Knuth's MMIX generator
    return step_ / 2 + static_cast<Micros>((state_ >> 33) % static_cast<std::uint64_t>(step_ / 2 + 1));
}

}  // namespace sloestack::schedule
