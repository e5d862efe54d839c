#include "deadlines/deadlines.h"

namespace sloestack {

void Deadline::set(Deadlines& in, Time at, std::function<void()> what) {
    clear();
    in_ = &in;
    key_ = {at, in.added_++};
    in.entries_.emplace(key_, Deadlines::Entry{std::move(what), this});
}

void Deadline::clear() {
    if (in_) in_->entries_.erase(key_);
    in_ = nullptr;
}

Deadlines::~Deadlines() {
    for (auto& [key, entry] : entries_)
        if (entry.owner) entry.owner->in_ = nullptr;
}

void Deadlines::add(Time at, std::function<void()> what) {
    entries_.emplace(std::pair{at, added_++}, Entry{std::move(what), nullptr});
}

std::optional<Time> Deadlines::next() const {
    if (entries_.empty()) return std::nullopt;
    return entries_.begin()->first.first;
}

void Deadlines::sweep() {
    const Time now = clock_.now();
    const auto newest = added_;
    // One that a deadline adds for now or earlier sorts behind what was due before, and is left for later.
    for (auto it = entries_.begin(); it != entries_.end() && it->first.first <= now; it = entries_.begin()) {
        if (it->first.second >= newest) break;
        auto entry = std::move(it->second);
        if (entry.owner) entry.owner->in_ = nullptr;
        entries_.erase(it);
        entry.what();
    }
}

}  // namespace sloestack
