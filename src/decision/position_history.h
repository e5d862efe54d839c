// Log positions of one replica as they were reported over time, and the speed at which they advance.
//
// A position is the time up to which all commits are applied, in microseconds on the router's clock; a
// replica that keeps up with the present advances by one microsecond a microsecond.
#pragma once

#include <deque>
#include <optional>

#include "sloestack/router.h"

namespace sloestack::decision {

struct PositionSample {
    Time at = 0;
    Time position = 0;
};

class PositionHistory {
public:
    // Samples come in order of time; one at the same time as the last replaces it.
    void record(const PositionSample& sample);
    void clear() { samples_.clear(); }
    // Position advanced per time passed; nothing where the samples span too little time to tell.
    std::optional<double> speed() const;
    // How long the last sample counts as recent: longer where samples come seldom.
    Micros freshness_window_us() const;

private:
    std::deque<PositionSample> samples_;
};

}  // namespace sloestack::decision
