// Admission control of reads by goodput: admits as many reads of a class as were lately served within the
// latency objective, plus some room to grow.
//
// The share of reads that is admitted is the ratio of the sustained rate (reads served in time, times a
// growth factor) to the offered rate. This protects endpoints from overload, whatever its cause, and clients
// from responses that are late because of long queues. Limits on work in flight cannot do that if each of
// many routers has only one or two requests in flight. Reads may still be rejected for some time after an
// outage.
#pragma once

#include "replica_group.h"
#include "sloestack/router.h"

namespace sloestack::decision {

class ReadAdmission {
public:
    explicit ReadAdmission(int router_count);

    // Returns whether the read is admitted. A read that is not admitted is counted as offered. `draw` is
    // uniform in [0, 1).
    bool admit(ReplicaGroup& group, std::size_t class_index, Time now, double draw) const;
    // Records the end of an admitted read: whether it was served, and whether its latency objective had
    // passed. A read that ended within the objective without being served is not counted.
    static void record(ReplicaGroup& group, std::size_t class_index, Time now, bool was_served,
                       bool was_late);

private:
    double prior_reads_;
};

}  // namespace sloestack::decision
