// The usual latency of each request class, learned from answers, and the work that a request of it costs. It
// is the unit in which all other rules compare endpoints and budgets.
#pragma once

#include <vector>

#include "sloestack/router.h"

namespace sloestack::decision {

constexpr double kMaxLatencyRatio = 10;        // a single answer counts as no slower than that
constexpr double kLatencyDecreaseStep = 0.08;  // smoothing of a latency ratio downwards

class LatencyBaseline {
public:
    explicit LatencyBaseline(const std::vector<RequestClassSettings>& classes);

    double usual_us(std::size_t class_index) const { return usual_us_[class_index]; }
    double shortest_usual_us() const;
    // Seconds of service that a request of the class usually takes.
    double work_s(std::size_t class_index) const;
    // Latency over the usual one of the class.
    double ratio(std::size_t class_index, Micros latency_us) const;
    // Takes the ratio of one attempt into the class's usual latency.
    void learn(std::size_t class_index, double latency_ratio);
    // Takes the ratio of one answered attempt into the fleet's.
    void learn_fleet(double latency_ratio);
    // Smoothed ratio of all answered attempts: over 1 while the whole fleet is slow.
    double fleet_ratio() const { return fleet_ratio_; }
    // Class indices in order of priority weight for the work, highest first.
    std::vector<std::size_t> by_weight_for_work() const;

private:
    const std::vector<RequestClassSettings>& classes_;
    std::vector<double> usual_us_;
    double fleet_ratio_ = 1;
};

}  // namespace sloestack::decision
