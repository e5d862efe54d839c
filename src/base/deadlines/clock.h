// The program's only clock: Unix time in microseconds that never goes back. The wall clock is read once, at
// start-up; from then on the monotonic clock is used, so that a step of the wall clock moves no deadline.
#pragma once

#include <chrono>

#include "sloestack/router.h"

namespace sloestack {

using decision::Micros;
using decision::Time;

constexpr Micros kMicrosPerMillisecond = 1000;

class Clock {
public:
    Clock() = default;
    Clock(const Clock&) = delete;
    Clock& operator=(const Clock&) = delete;
    virtual ~Clock() = default;
    // Overridden in tests by clocks that are set by the test.
    virtual Time now() const { return anchor_ + micros(std::chrono::steady_clock::now() - started_); }

private:
    template <class Duration>
    static Micros micros(Duration duration) {
        return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    }
    std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now();
    Time anchor_ = micros(std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace sloestack
