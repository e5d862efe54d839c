#include "position_history.h"

#include <algorithm>

#include "decaying_rate.h"

namespace sloestack::decision {
namespace {

// Samples older than kLongRateWindowUs are discarded; those older than kRateWindowUs only while more than
// this number of samples are left.
constexpr std::size_t kSamplesBeyondWindow = 3;
constexpr Micros kMinSpeedSpanUs = 150'000;  // over shorter spans the jitter of sampling times dominates

}  // namespace

void PositionHistory::record(const PositionSample& sample) {
    if (!samples_.empty() && samples_.back().at == sample.at) samples_.pop_back();
    samples_.push_back(sample);
    const auto oldest_age = [&] { return sample.at - samples_.front().at; };
    while (oldest_age() > kLongRateWindowUs ||
           (oldest_age() > kRateWindowUs && samples_.size() > kSamplesBeyondWindow))
        samples_.pop_front();
}

std::optional<double> PositionHistory::speed() const {
    if (samples_.size() < 2) return std::nullopt;
    const Micros span_us = samples_.back().at - samples_.front().at;
    if (span_us < kMinSpeedSpanUs) return std::nullopt;
    return as_double(samples_.back().position - samples_.front().position) / as_double(span_us);
}

Micros PositionHistory::freshness_window_us() const {
    if (samples_.size() < 2) return kRateWindowUs;
    const Micros span_us = samples_.back().at - samples_.front().at;
    const Micros interval_us = span_us / static_cast<Micros>(samples_.size() - 1);
    return std::clamp(static_cast<Micros>(kSamplesBeyondWindow) * interval_us, kRateWindowUs,
                      kLongRateWindowUs);
}

}  // namespace sloestack::decision
