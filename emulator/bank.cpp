#include "emulator/bank.h"

#include <algorithm>

namespace emulator {
namespace {

constexpr double kCatchUp = 2;  // a replica that is behind applies the log twice as fast as it is written

}  // namespace

Bank::Bank(const BankSettings& settings, Time now)
    : settings_(settings), members_(static_cast<std::size_t>(settings.members)) {
    for (auto& m : members_) {
        m.applied = now - settings.lag;
        m.seen = now;
    }
}

Time Bank::position(int member, Time now) {
    auto& m = members_.at(static_cast<std::size_t>(member));
    if (member == primary_ && lost_at_ == 0) {
        m.applied = std::max(m.applied, now);
        m.seen = now;
        return m.applied;
    }
    // While it applied slowly it went on at a fraction of the log's own pace; after that it catches up.
    const Time slow_end = std::clamp(m.slow_until, m.seen, std::max(m.seen, now));
    auto at = m.applied + static_cast<Time>(static_cast<double>(slow_end - m.seen) / m.slow);
    at += static_cast<Time>(static_cast<double>(std::max<Time>(0, now - slow_end)) * kCatchUp);
    // Nothing is written while there is no primary, so the log ends there.
    const Time newest = (lost_at_ ? std::min(now, lost_at_) : now) - settings_.lag;
    if (m.up) m.applied = std::max(m.applied, std::min(at, newest));
    m.seen = now;
    return m.applied;
}

void Bank::slow_apply(int member, double times, Time until, Time now) {
    position(member, now);
    auto& m = members_.at(static_cast<std::size_t>(member));
    m.slow = times;
    m.slow_until = until;
}

void Bank::down(int member, Time now) {
    position(member, now);
    members_.at(static_cast<std::size_t>(member)).up = false;
    if (member != primary_ || lost_at_) return;
    lost_at_ = now;
    wait_ = settings_.gives_up_after + settings_.takes_over_after;
}

void Bank::up(int member, Time now) {
    auto& m = members_.at(static_cast<std::size_t>(member));
    m.up = true;
    m.seen = now;
}

void Bank::drain(int member, Time now) {
    position(member, now);
    members_.at(static_cast<std::size_t>(member)).draining = true;
    if (member != primary_ || lost_at_) return;
    lost_at_ = now;
    wait_ = settings_.hands_over_after;
}

void Bank::back(int member) { members_.at(static_cast<std::size_t>(member)).draining = false; }

void Bank::replace(int member, Time copied_at, Time now) {
    down(member, now);
    auto& m = members_.at(static_cast<std::size_t>(member));
    m = {};
    m.applied = copied_at;
    m.seen = now;
}

int Bank::primary(Time now) {
    if (lost_at_ && now >= lost_at_ + wait_) elect(now);
    return lost_at_ ? -1 : primary_;
}

// The replica that is farthest takes over, once it has applied all there is; so no commit is lost.
void Bank::elect(Time now) {
    int best = -1;
    for (int i = 0; i < settings_.members; ++i) {
        const auto& m = members_[static_cast<std::size_t>(i)];
        if (!m.up || m.draining) continue;
        if (best < 0 || position(i, now) > position(best, now)) best = i;
    }
    if (best < 0) return;
    primary_ = best;
    lost_at_ = 0;
}

Bank::Write Bank::write(const std::string& key, const std::string& value, Time now) {
    while (!keys_by_age_.empty() && now - keys_by_age_.front().first > settings_.repeat_window) {
        keys_.erase(keys_by_age_.front().second);
        keys_by_age_.pop_front();
    }
    if (const auto known = keys_.find(key); known != keys_.end())
        return {false, known->second.value, known->second.at};
    keys_[key] = {value, now};
    keys_by_age_.emplace_back(now, key);
    return {true, value, now};
}

}  // namespace emulator
