#include "read_admission.h"

#include <algorithm>

namespace sloestack::decision {
namespace {

constexpr double kMaxGrowth = 1.25;        // reads admitted relative to those served in time
constexpr double kMinAdmittedRatio = 0.2;  // without admitted reads a recovery would not be noticed
// Prior: reads assumed to have been offered and served in time, so that a few late reads do not cause
// rejections. Grows with the router count, because each router then sees fewer reads and chance has more
// effect.
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
