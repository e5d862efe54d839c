// Admission of reads by goodput: of each class as many are admitted as are lately served in time, with some
// room to grow.
//
// The design's formula for writes, with the reads served within their latency objective as the sustained
// rate. Limits on work in flight say nothing where each of many routers has a request or two out. Guards
// against overload of any cause and against queues of answers that come too late; it may reject reads for
// some time after an outage is over.
#pragma once

#include "replica_group.h"
#include "sloestack/router.h"

namespace sloestack::decision {

class ReadAdmission {
public:
    explicit ReadAdmission(int router_count);

    // Whether the read may go on; `draw` lies in [0, 1). One that may not is counted as offered.
    bool admit(ReplicaGroup& group, std::size_t class_index, Time now, double draw) const;
    // An admitted read has ended: served or not, within its latency objective or later.
    static void record(ReplicaGroup& group, std::size_t class_index, Time now, bool was_served,
                       bool was_late);

private:
    double prior_reads_;
};

}  // namespace sloestack::decision
