// An amount per second that is forgotten exponentially over a window.
#pragma once

#include <cmath>

#include "conversions.h"

namespace sloestack::decision {

constexpr Micros kRateWindowUs = 1'000'000;
// For rates of which one router's second holds only a few samples.
constexpr Micros kLongRateWindowUs = 4'000'000;

class DecayingRate {
public:
    explicit DecayingRate(Micros window_us = kRateWindowUs) : window_us_(as_double(window_us)) {}

    void add(Time now, double amount) {
        if (sum_ == 0) first_at_ = now - kMinSpanUs;
        sum_ = decayed_sum(now) + amount;
        added_at_ = now;
    }
    // Corrected for the part of the window that has not been observed yet.
    double per_second(Time now) const {
        return decayed_sum(now) * kMicrosPerSecond /
               (window_us_ * (1 - std::exp(-as_double(now - first_at_) / window_us_)));
    }
    // What is left of all amounts, each weighted by its age.
    double decayed_sum(Time now) const {
        return sum_ == 0 ? 0 : sum_ * std::exp(-as_double(now - added_at_) / window_us_);
    }

private:
    // A rate whose first sample has just come is taken to span at least this.
    static constexpr Micros kMinSpanUs = 300'000;

    double window_us_;
    double sum_ = 0;
    Time added_at_ = 0;
    Time first_at_ = 0;
};

}  // namespace sloestack::decision
