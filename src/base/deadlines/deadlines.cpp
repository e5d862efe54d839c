#include "deadlines/deadlines.h"

namespace sloestack {

void Deadline::set(Deadlines& deadlines, Time at, std::function<void()> callback) {
    clear();
    deadlines_ = &deadlines;
    key_ = {at, deadlines.next_sequence_++};
    deadlines.entries_.emplace(key_, Deadlines::Entry{std::move(callback), this});
}

void Deadline::clear() {
    if (deadlines_) deadlines_->entries_.erase(key_);
    deadlines_ = nullptr;
}

Deadlines::~Deadlines() {
    for (auto& [key, entry] : entries_)
        if (entry.owner) entry.owner->deadlines_ = nullptr;
}

void Deadlines::add(Time at, std::function<void()> callback) {
    entries_.emplace(std::pair{at, next_sequence_++}, Entry{std::move(callback), nullptr});
}

std::optional<Time> Deadlines::next() const {
    if (entries_.empty()) return std::nullopt;
    return entries_.begin()->first.first;
}

void Deadlines::run_due() {
    const Time now = clock_.now();
    const auto first_new = next_sequence_;
    auto next = entries_.begin();
    while (next != entries_.end() && next->first.first <= now) {
        // A deadline that a callback of this call has set for a time already past is left for the next call.
        if (next->first.second >= first_new) {
            ++next;
            continue;
        }
        auto entry = std::move(next->second);
        if (entry.owner) entry.owner->deadlines_ = nullptr;
        entries_.erase(next);
        entry.callback();
        next = entries_.begin();  // the callback may have changed any entry
    }
}

}  // namespace sloestack
