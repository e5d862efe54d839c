// Proportional admission of writes while replicas lag (the design's mechanism, after the paper on hot-shard
// management that the design cites).
//
// A replica group is throttled while its slowest replica with a recent report lags by more than the target.
// Writes are then admitted at the offered rate times the ratio of apply speed to commit speed. The throttle
// expires 3 s after its last update. Three departures from the design, each marked in the implementation,
// avoid rejecting writes that would not help any read.
#pragma once

#include "endpoint.h"
#include "replica_group.h"
#include "router_state.h"

namespace sloestack::decision {

class WriteThrottle {
public:
    // The lag target is half the smallest staleness bound of the classes, or 500 ms if none has one.
    explicit WriteThrottle(const Settings& settings);

    // Updates the group's throttle if its replicas lag. Returns the slowest replica if that activates the
    // throttle, otherwise nullptr.
    const Endpoint* update(ReplicaGroup& group, const RouterState& state) const;
    // Counts an arriving write, and returns whether it is admitted.
    static bool admit(ReplicaGroup& group, Time now);
    // Returns the Retry-After of a write that was not admitted: about the time until it would be. `draw` is
    // uniform in [0, 1).
    static Micros retry_after_us(const ReplicaGroup& group, Time now, double draw);

    Micros lag_target_us() const { return lag_target_us_; }

private:
    static const Endpoint* slowest_replica(const ReplicaGroup& group, const RouterState& state);

    Micros lag_target_us_ = 0;
};

}  // namespace sloestack::decision
