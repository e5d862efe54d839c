// A rate per second whose samples are forgotten exponentially.
#pragma once

#include <cmath>

#include "conversions.h"

namespace sloestack::decision {

constexpr Micros kRateWindowUs = 1'000'000;
// For rates of which a single router sees only a few samples per second.
constexpr Micros kLongRateWindowUs = 4'000'000;

class DecayingRate {
public:
    // `window_us` is the time constant: after it a sample has lost all but 1/e of its weight.
    explicit DecayingRate(Micros window_us = kRateWindowUs) : window_us_(as_double(window_us)) {}

    // Adds a sample; `now` must not decrease from one call to the next.
    void add(Time now, double amount) {
        if (sum_ == 0) observed_since_ = now - kMinSpanUs;
        sum_ = decayed_sum(now) + amount;
        updated_at_ = now;
    }
    // Returns the amount per second, corrected for the part of the window before the first sample.
    double per_second(Time now) const {
        return decayed_sum(now) * kMicrosPerSecond /
               (window_us_ * (1 - std::exp(-as_double(now - observed_since_) / window_us_)));
    }
    // Returns the sum of all samples, each decayed by its age; 0 without samples.
    double decayed_sum(Time now) const {
        return sum_ == 0 ? 0 : sum_ * std::exp(-as_double(now - updated_at_) / window_us_);
    }

private:
    // Assumed observation time before the first sample; without it the first samples would give a huge rate.
    static constexpr Micros kMinSpanUs = 300'000;

    double window_us_;
    double sum_ = 0;
    Time updated_at_ = 0;
    Time observed_since_ = 0;
};

}  // namespace sloestack::decision
