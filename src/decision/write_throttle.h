// Proportional admission of writes while replicas lag (the design's mechanism, after the paper on hot-shard
// management that the design cites).
//
// A group is throttled while its slowest replica that has lately reported lags past the target; writes are
// then admitted at the offered rate times apply speed over commit speed. A group's throttle lapses 3 s
// after it was last renewed. Three departures from the design, each marked where it acts, keep writes from
// being rejected for no one's benefit.
#pragma once

#include "endpoint.h"
#include "replica_group.h"
#include "router_state.h"

namespace sloestack::decision {

class WriteThrottle {
public:
    explicit WriteThrottle(const Settings& settings);

    // Renews the group's entry where its replicas lag. Returns the slowest replica where writes become
    // throttled by that, nullptr otherwise.
    const Endpoint* renew(ReplicaGroup& group, const RouterState& state) const;
    // Counts a write that has arrived; false where it is to be rejected.
    static bool admit(ReplicaGroup& group, Time now);
    // When the excess would fit: Retry-After of a write that was not admitted. `draw` lies in [0, 1).
    static Micros retry_after_us(const ReplicaGroup& group, Time now, double draw);

    Micros lag_target_us() const { return lag_target_us_; }

private:
    static const Endpoint* slowest_replica(const ReplicaGroup& group, const RouterState& state);

    Micros lag_target_us_ = 0;
};

}  // namespace sloestack::decision
