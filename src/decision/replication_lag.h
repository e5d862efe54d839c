// Positions of endpoints: how far they have applied the log of their replica group's primary.
#pragma once

#include "endpoint.h"
#include "replica_group.h"
#include "sloestack/router.h"

namespace sloestack::decision {

// Records the position that an endpoint has reported. Ignores positions in the future and those older than
// the last one.
void record_position(Endpoint& endpoint, ReplicaGroup& group, const ReplicationStatus& status, Time now);

// Returns the endpoint's estimated position at `now`; -1 if none was ever reported. If endpoints check
// positions themselves, the last reported position is extrapolated by its speed, because a wrong estimate is
// corrected by the endpoint; otherwise only the reported position counts.
Time estimated_position(const Endpoint& endpoint, const ReplicaGroup& group, PositionCheck check, Time now);

}  // namespace sloestack::decision
