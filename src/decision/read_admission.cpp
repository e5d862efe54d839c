#include "read_admission.h"

#include <algorithm>

namespace sloestack::decision {
namespace {

constexpr double kMaxGrowth = 1.25;        // over the reads served in time
constexpr double kMinAdmittedRatio = 0.2;  // of the reads offered: without any there is no evidence
// Reads taken to have been offered and served: a verdict needs more evidence than that. The more routers
// there are, the fewer reads each sees, and the more of what it sees is chance.
constexpr double kMinPriorReads = 1;
constexpr double kPriorReadsPerRouter = 0.08;

}  // namespace

ReadAdmission::ReadAdmission(int router_count)
    : prior_reads_(std::max(kMinPriorReads, kPriorReadsPerRouter * router_count)) {}

bool ReadAdmission::admit(ReplicaGroup& group, std::size_t class_index, Time now, double draw) const {
    auto& reads = group.read_admission[class_index];
    const double sustained = kMaxGrowth * reads.served_in_time.decayed_sum(now) + prior_reads_;
    const double offered = reads.offered.decayed_sum(now) + prior_reads_;
    if (draw < std::max(kMinAdmittedRatio, sustained / offered)) return true;
    reads.offered.add(now, 1);
    return false;
}

void ReadAdmission::record(ReplicaGroup& group, std::size_t class_index, Time now, bool was_served,
                           bool was_late) {
    auto& reads = group.read_admission[class_index];
    if (was_served || was_late) reads.offered.add(now, 1);
    if (was_served && !was_late) reads.served_in_time.add(now, 1);
}

}  // namespace sloestack::decision
