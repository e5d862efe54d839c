// Reported log positions of one replica, and the speed at which they advance.
//
// A position is the time up to which all commits are applied, in microseconds on the router's clock. The
// position of a replica that keeps up advances by one microsecond per microsecond.
#pragma once

#include <deque>
#include <optional>

#include "sloestack/router.h"

namespace sloestack::decision {

struct PositionSample {
    Time at = 0;  // when the position was reported
    Time position = 0;
};

class PositionHistory {
public:
    // Adds a sample; times must not decrease. A sample with the time of the last one replaces it.
    void record(const PositionSample& sample);
    void clear() { samples_.clear(); }
    // Returns the advance of the position per time; std::nullopt if the samples span less than 150 ms.
    std::optional<double> speed() const;
    // Returns how long the last sample counts as recent: three sampling intervals, from 1 to 4 s.
    Micros freshness_window_us() const;

private:
    std::deque<PositionSample> samples_;
};

}  // namespace sloestack::decision
