// Baseline latency of each request class, learned from responses. It is the unit of work in which endpoints
// and budgets are compared.
#pragma once

#include <vector>

#include "sloestack/router.h"

namespace sloestack::decision {

constexpr double kMaxLatencyRatio = 10;        // greater ratios of single responses are clamped to it
constexpr double kLatencyDecreaseStep = 0.08;  // smoothing factor for decreasing latency ratios

class LatencyBaseline {
public:
    // Keeps a reference to `classes`, which must outlive this.
    explicit LatencyBaseline(const std::vector<RequestClassSettings>& classes);

    double baseline_us(std::size_t class_index) const { return baseline_us_[class_index]; }
    double min_baseline_us() const;
    // Returns the work of a request of the class: its baseline latency in seconds.
    double work_s(std::size_t class_index) const;
    // Returns the latency relative to the baseline of the class.
    double ratio(std::size_t class_index, Micros latency_us) const;
    // Adjusts the baseline of the class by the latency ratio of one attempt.
    void update(std::size_t class_index, double latency_ratio);
    // Updates the smoothed ratio of the fleet with the latency ratio of an attempt that got a response.
    void update_fleet(double latency_ratio);
    // Returns the smoothed latency ratio over all endpoints; over 1 while the whole fleet is slow.
    double fleet_ratio() const { return fleet_ratio_; }
    // Returns the class indices, ordered by priority weight per work, highest first.
    std::vector<std::size_t> classes_by_weight_per_work() const;

private:
    const std::vector<RequestClassSettings>& classes_;
    std::vector<double> baseline_us_;
    double fleet_ratio_ = 1;
};

}  // namespace sloestack::decision
