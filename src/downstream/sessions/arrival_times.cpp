#include "sessions/arrival_times.h"

namespace sloestack::downstream {

void ArrivalTimes::record(std::uint64_t end, Time now) {
    if (!reads_.empty() && reads_.back().end >= end) return;
    if (reads_.size() == kMaxReads || (!reads_.empty() && reads_.back().at == now))
        reads_.back() = {end, now};
    else
        reads_.push_back({end, now});
}

Time ArrivalTimes::arrival_of(std::uint64_t end, Time fallback) {
    while (!reads_.empty() && reads_.front().end < end) reads_.pop_front();
    return reads_.empty() ? fallback : reads_.front().at;
}

}  // namespace sloestack::downstream
