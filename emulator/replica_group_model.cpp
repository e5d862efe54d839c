#include "emulator/replica_group_model.h"

#include <algorithm>

namespace emulator {
namespace {

constexpr double kCatchUp = 2;  // a lagging replica applies the log twice as fast as the primary writes it

}  // namespace

ReplicaGroupModel::ReplicaGroupModel(const ReplicaGroupModelSettings& settings, Time now)
    : settings_(settings), members_(static_cast<std::size_t>(settings.members)) {
    for (auto& m : members_) {
        m.applied = now - settings.lag;
        m.updated_at = now;
    }
}

Time ReplicaGroupModel::position(int member, Time now) {
    auto& m = members_.at(static_cast<std::size_t>(member));
    if (member == primary_ && lost_at_ == 0) {
        m.applied = std::max(m.applied, now);
        m.updated_at = now;
        return m.applied;
    }
    // Until `slow_end` the replica applied the log at a fraction of the rate it is written at; after that it
    // catches up.
    const Time slow_end = std::clamp(m.slow_until, m.updated_at, std::max(m.updated_at, now));
    auto projected =
        m.applied + static_cast<Time>(static_cast<double>(slow_end - m.updated_at) / m.slow_factor);
    projected += static_cast<Time>(static_cast<double>(std::max<Time>(0, now - slow_end)) * kCatchUp);
    // Nothing is written while there is no primary, so the log ends at `lost_at_`.
    const Time newest = (lost_at_ ? std::min(now, lost_at_) : now) - settings_.lag;
    if (m.up) m.applied = std::max(m.applied, std::min(projected, newest));
    m.updated_at = now;
    return m.applied;
}

void ReplicaGroupModel::slow_apply(int member, double factor, Time until, Time now) {
    position(member, now);
    auto& m = members_.at(static_cast<std::size_t>(member));
    m.slow_factor = factor;
    m.slow_until = until;
}

void ReplicaGroupModel::mark_down(int member, Time now) {
    position(member, now);
    members_.at(static_cast<std::size_t>(member)).up = false;
    if (member != primary_ || lost_at_) return;
    lost_at_ = now;
    election_delay_ = settings_.detection_delay + settings_.failover_delay;
}

void ReplicaGroupModel::mark_up(int member, Time now) {
    auto& m = members_.at(static_cast<std::size_t>(member));
    m.up = true;
    m.updated_at = now;
}

void ReplicaGroupModel::drain(int member, Time now) {
    position(member, now);
    members_.at(static_cast<std::size_t>(member)).draining = true;
    if (member != primary_ || lost_at_) return;
    lost_at_ = now;
    election_delay_ = settings_.handover_delay;
}

void ReplicaGroupModel::end_drain(int member) {
    members_.at(static_cast<std::size_t>(member)).draining = false;
}

void ReplicaGroupModel::replace(int member, Time copied_at, Time now) {
    mark_down(member, now);
    auto& m = members_.at(static_cast<std::size_t>(member));
    m = {};
    m.applied = copied_at;
    m.updated_at = now;
}

int ReplicaGroupModel::primary(Time now) {
    if (lost_at_ && now >= lost_at_ + election_delay_) elect_primary(now);
    return lost_at_ ? -1 : primary_;
}

// Elects the available replica with the highest position. From then on its position is
// the current time, as if it had applied the whole log first: no commit is lost.
void ReplicaGroupModel::elect_primary(Time now) {
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

ReplicaGroupModel::Write ReplicaGroupModel::write(const std::string& key, const std::string& value,
                                                  Time now) {
    while (!keys_by_age_.empty() && now - keys_by_age_.front().first > settings_.duplicate_window) {
        writes_by_key_.erase(keys_by_age_.front().second);
        keys_by_age_.pop_front();
    }
    if (const auto duplicate = writes_by_key_.find(key); duplicate != writes_by_key_.end())
        return {false, duplicate->second.value, duplicate->second.at};
    writes_by_key_[key] = {value, now};
    keys_by_age_.emplace_back(now, key);
    return {true, value, now};
}

}  // namespace emulator
