// How far endpoints have applied the log of their group's primary.
#pragma once

#include "endpoint.h"
#include "replica_group.h"
#include "sloestack/router.h"

namespace sloestack::decision {

// Takes a position that an endpoint has reported; positions in the future and older ones are passed over.
void record_position(Endpoint& endpoint, ReplicaGroup& group, const ReplicationStatus& status, Time now);

// The position that an endpoint can be taken to have by now; -1 where none was ever reported. Where endpoints
// do not check reads themselves, only a reported position counts; where they do, it is carried on at the
// speed last seen.
Time estimated_position(const Endpoint& endpoint, const ReplicaGroup& group, PositionCheck check, Time now);

}  // namespace sloestack::decision
