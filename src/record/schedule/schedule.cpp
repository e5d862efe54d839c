#include "schedule/schedule.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>

#include "invariant/invariant.h"

namespace sloestack::schedule {
namespace {

constexpr Micros kRateCatchUp = 5'000;  // unused time that the rate limit may make up for: an event-loop
                                        // iteration with many responses takes ms

std::uint64_t hash(const std::string& key) { return XXH3_64bits(key.data(), key.size()); }

}  // namespace

Schedule::Schedule(const Settings& settings, Time start)
    : settings_(settings),
      timeline_(settings.speed, settings.stretch),
      round_start_(start),
      latest_due_(start) {
    if (!(settings.max_requests_per_second >= 0 && settings.max_requests_per_second <= 1e6))
        throw std::invalid_argument("the rate cap must lie between 0 (none) and 1000000 requests a second");
    if (settings.max_open_requests == 0)
        throw std::invalid_argument("the number of open requests must be at least 1");
    if (settings.rounds < 1 || settings.rounds > 1'000'000)
        throw std::invalid_argument("rounds must lie between 1 and 1000000");
    if (settings.sort_window < 0 || settings.late_after < 0)
        throw std::invalid_argument("the sort window and the limit of lateness must not be negative");
    if (settings.max_keys == 0)
        throw std::invalid_argument("the number of remembered keys must be at least 1");
}

// ---- adding steps ----
void Schedule::add(const RecordedStep& step) {
    if (finished_) return;
    if (settings_.backwards == Backwards::clamp) {
        enqueue(step);
        return;
    }
    // Sorts steps of different connections only: the order within a connection is that on the wire.
    auto sorted = step;
    auto [latest, is_new] = latest_by_connection_.try_emplace(step.connection, step.at);
    if (!is_new && step.at < latest->second) {
        ++counters_.backwards;
        sorted.at = latest->second;
    }
    latest->second = sorted.at;
    if (!sort_buffer_.empty() && sorted.at < sort_buffer_.rbegin()->first) ++counters_.sorted;
    if (step.step == Step::close) latest_by_connection_.erase(step.connection);
    sort_buffer_.emplace(sorted.at, sorted);  // after equal timestamps: a multimap keeps their order
    release(false);
}

void Schedule::release(bool all) {
    while (!sort_buffer_.empty() &&
           (all || sort_buffer_.rbegin()->first - sort_buffer_.begin()->first > settings_.sort_window)) {
        enqueue(std::move(sort_buffer_.begin()->second));
        sort_buffer_.erase(sort_buffer_.begin());
    }
}

void Schedule::enqueue(RecordedStep step) {
    const auto backwards_before = clock_.backwards();
    const auto at = clock_.take(step.at);
    counters_.backwards += clock_.backwards() - backwards_before;
    if (!first_) first_ = at;
    Item item;
    item.round = round_;
    item.due = round_start_ + timeline_.due(at - *first_);
    item.step = std::move(step);
    item.step.connection = connection_in(round_, item.step.connection);
    if (!item.step.id.empty()) item.step.id = name_in_round(item.step.id, round_);
    latest_due_ = std::max(latest_due_, item.due);
    const auto connection = item.step.connection;
    auto& queue = queues_[connection];
    queue.items.push_back(std::move(item));
    ++queued_;
    if (queue.items.size() == 1) add_head(connection, queue);
}

bool Schedule::end_of_round() {
    release(true);
    latest_by_connection_.clear();
    ++round_;
    clock_ = MonotonicClock();
    first_.reset();
    round_start_ = latest_due_;
    finished_ = round_ >= settings_.rounds;
    return !finished_;
}

void Schedule::mark_response_missing(const std::string& key) {
    if (settings_.rounds > 1 && !key.empty()) keys_without_response_.insert(key);
}

std::string Schedule::name_in_round(std::string_view recorded, int round) const {
    if (round == 0) return std::string(recorded);
    const auto seed = settings_.seed * 1'000'003 + static_cast<std::uint64_t>(round);
    char text[17];
    std::snprintf(
        text, sizeof text, "%016llx",
        static_cast<unsigned long long>(XXH3_64bits_withSeed(recorded.data(), recorded.size(), seed)));
    return text;
}

// ---- connections whose next step may be played ----
// The next request of a connection waits for the response to the previous one, unless it was recorded as sent
// before that response.
bool Schedule::is_blocked(const ConnectionQueue& queue) const {
    const auto& head = queue.items.front().step;
    return queue.unanswered > 0 && !(head.step == Step::ask && head.ahead);
}

void Schedule::add_head(ConnectionId connection, ConnectionQueue& queue) {
    if (queue.is_in_heads || queue.items.empty() || is_blocked(queue)) return;
    queue.is_in_heads = true;
    heads_.insert({queue.items.front().due, connection});
}

void Schedule::remove_head(ConnectionId connection, ConnectionQueue& queue) {
    if (!queue.is_in_heads) return;
    queue.is_in_heads = false;
    heads_.erase({queue.items.front().due, connection});
}

// Records the first reason that delays a step, and counts the step once.
void Schedule::mark_held(Item& item, HoldReason reason) {
    if (item.hold_reason != HoldReason::none) return;
    item.hold_reason = reason;
    if (reason == HoldReason::order) ++counters_.held_by_order;
    if (reason == HoldReason::id) ++counters_.held_by_id;
    if (reason == HoldReason::budget) ++counters_.held_by_budget;
    if (reason == HoldReason::rate) ++counters_.held_by_rate;
}

// ---- taking steps ----
std::optional<Time> Schedule::next() const {
    if (heads_.empty()) return std::nullopt;
    const auto& first = *heads_.begin();
    const auto& head = queues_.at(first.second).items.front();
    if (head.step.step != Step::ask) return first.first;
    if (open_.size() >= settings_.max_open_requests && settings_.late == Late::send) return std::nullopt;
    if (open_.size() >= settings_.max_open_requests) return first.first + settings_.late_after + 1;
    return std::max(first.first, next_by_rate_);
}

SkipReason Schedule::skip_reason_of(const Item& item, Time now) const {
    if (settings_.late == Late::skip && now - item.due > settings_.late_after) return SkipReason::late;
    if (item.step.key.empty()) return SkipReason::none;
    if (item.round > 0 && keys_without_response_.count(item.step.key)) return SkipReason::outcome_unknown;
    // A write is sent again under the same key only if the previous one was rejected, and so never ran.
    const auto known = keys_.find(hash(name_in_round(item.step.key, item.round)));
    if (known != keys_.end() && known->second != Outcome::refused) return SkipReason::key_already_sent;
    return SkipReason::none;
}

std::optional<Due> Schedule::take(Time now) {
    while (!heads_.empty() && heads_.begin()->first <= now) {
        const auto at = queues_.find(heads_.begin()->second);
        auto& queue = at->second;
        auto& item = queue.items.front();
        if (item.step.step != Step::ask) return dispatch(at, now, SkipReason::none);
        if (const auto skipped = skip_reason_of(item, now); skipped != SkipReason::none)
            return dispatch(at, now, skipped);
        // A proxy rejects a request whose id another open request has, so the second one waits.
        if (!item.step.id.empty() && open_ids_.count(item.step.id)) {
            mark_held(item, HoldReason::id);
            waits_for_id_[item.step.id].push_back(at->first);
            remove_head(at->first, queue);
            continue;
        }
        if (open_.size() >= settings_.max_open_requests) {
            mark_held(item, HoldReason::budget);
            return std::nullopt;
        }
        if (settings_.max_requests_per_second > 0) {
            if (now < next_by_rate_) {
                mark_held(item, HoldReason::rate);
                return std::nullopt;
            }
            const auto apart = static_cast<Micros>(std::llround(1e6 / settings_.max_requests_per_second));
            // Unused time is not saved up, except for the duration of an event-loop iteration.
            next_by_rate_ = std::max(next_by_rate_, now - kRateCatchUp) + apart;
        }
        return dispatch(at, now, SkipReason::none);
    }
    return std::nullopt;
}

Due Schedule::dispatch(ConnectionQueues::iterator at, Time now, SkipReason skipped) {
    auto& queue = at->second;
    remove_head(at->first, queue);
    auto item = std::move(queue.items.front());
    queue.items.pop_front();
    --queued_;
    Due out;
    out.ticket = item.step.ticket;
    out.connection = at->first;
    out.step = item.step.step;
    out.skipped = skipped;
    out.due = item.due;
    out.late = std::max<Micros>(0, now - item.due);
    out.hold_reason = item.hold_reason;
    if (skipped == SkipReason::late) ++counters_.skipped_late;
    if (skipped == SkipReason::key_already_sent) ++counters_.skipped_key;
    if (skipped == SkipReason::outcome_unknown) ++counters_.skipped_fate;
    if (out.step == Step::ask && skipped == SkipReason::none) {
        if (out.late > settings_.late_after) ++counters_.late;
        ++queue.unanswered;
        const auto key = item.step.key.empty() ? std::string() : name_in_round(item.step.key, item.round);
        if (!key.empty()) remember_key(key);
        if (!item.step.id.empty()) open_ids_.insert(item.step.id);
        const bool is_new = open_.emplace(out.ticket, Open{at->first, item.step.id, key}).second;
        SLOESTACK_INVARIANT(is_new, "a ticket is open once");
    }
    if (queue.items.empty() && queue.unanswered == 0)
        queues_.erase(at);
    else
        add_head(at->first, queue);
    return out;
}

void Schedule::remember_key(const std::string& key) {
    const auto hashed = hash(key);
    if (!keys_.insert_or_assign(hashed, Outcome::unknown).second) return;
    keys_by_age_.push_back(hashed);
    if (keys_.size() <= settings_.max_keys) return;
    keys_.erase(keys_by_age_.front());
    keys_by_age_.pop_front();
}

void Schedule::ended(Ticket ticket, Outcome outcome, Time now) {
    const auto found = open_.find(ticket);
    if (found == open_.end()) return;
    const auto open = std::move(found->second);
    open_.erase(found);
    if (!open.key.empty())
        if (const auto known = keys_.find(hash(open.key)); known != keys_.end()) known->second = outcome;
    if (!open.id.empty()) {
        open_ids_.erase(open.id);
        // Connections that waited for the id are eligible again, in the order in which they came.
        if (const auto waits = waits_for_id_.find(open.id); waits != waits_for_id_.end()) {
            for (const auto connection : waits->second)
                if (const auto queue = queues_.find(connection); queue != queues_.end())
                    add_head(connection, queue->second);
            waits_for_id_.erase(waits);
        }
    }
    const auto queue = queues_.find(open.connection);
    if (queue == queues_.end()) return;
    --queue->second.unanswered;
    if (queue->second.items.empty() && queue->second.unanswered == 0)
        queues_.erase(queue);
    else if (!queue->second.items.empty()) {
        // A step that waits for an id is not added to heads_ until the id is free.
        const auto& head = queue->second.items.front();
        if (head.hold_reason == HoldReason::id && open_ids_.count(head.step.id)) return;
        // It was due before the response that it waited for arrived, so the delay is due to the order of
        // requests.
        if (!queue->second.is_in_heads && !is_blocked(queue->second) && head.due < now)
            mark_held(queue->second.items.front(), HoldReason::order);
        add_head(open.connection, queue->second);
    }
}

const char* to_text(SkipReason reason) {
    switch (reason) {
        case SkipReason::none:
            return "";
        case SkipReason::late:
            return "late";
        case SkipReason::key_already_sent:
            return "its key has gone out already";
        case SkipReason::outcome_unknown:
            return "a write whose fate is not recorded";
        case SkipReason::no_connection:
            return "no connection in its time";
    }
    return "";
}

Micros Backoff::next() {
    step_ = step_ == 0 ? first_ : std::min(step_ * 2, max_);
    state_ = state_ * 6364136223846793005u + 1442695040888963407u;  // Knuth's MMIX generator
    return step_ / 2 + static_cast<Micros>((state_ >> 33) % static_cast<std::uint64_t>(step_ / 2 + 1));
}

}  // namespace sloestack::schedule
