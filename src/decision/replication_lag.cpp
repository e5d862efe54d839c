#include "replication_lag.h"

#include <algorithm>

#include "conversions.h"

namespace sloestack::decision {

void record_position(Endpoint& endpoint, ReplicaGroup& group, const ReplicationStatus& status, Time now) {
    if (!status.position || *status.position > now) return;
    auto& replication = endpoint.replication;
    if (*status.position >= replication.position) {
        replication.position = *status.position;
        replication.reported_at = now;
        replication.history.record({now, replication.position});
    }
    if (status.role == Role::primary && *status.position > group.primary_position) {
        group.primary_position = *status.position;
        group.primary_history.record({now, *status.position});
    }
    const Time newest = group.primary ? now : group.primary_position;
    replication.lag_us = std::max<Micros>(0, newest - replication.position);
}

Time estimated_position(const Endpoint& endpoint, const ReplicaGroup& group, PositionCheck check, Time now) {
    const auto& replication = endpoint.replication;
    if (replication.position < 0) return -1;
    if (check == PositionCheck::none || !group.primary) return replication.position;
    const double speed = std::clamp(replication.history.speed().value_or(1.0), 0.0, 1.0);
    const double advanced_us = speed * as_double(now - replication.reported_at);
    return std::min<Time>(now, replication.position + as_micros(advanced_us));
}

}  // namespace sloestack::decision
