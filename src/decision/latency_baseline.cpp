#include "latency_baseline.h"

#include <algorithm>

#include "conversions.h"

namespace sloestack::decision {
namespace {

constexpr double kInitialObjectiveDivisor = 5;  // the initial baseline is the objective divided by this
constexpr double kMaxObjectiveRatio = 0.3;      // upper bound: longer latencies are congestion, not work
constexpr double kIncreaseFactor = 1.01;
constexpr double kDecreaseFactor = 0.99;

}  // namespace

LatencyBaseline::LatencyBaseline(const std::vector<RequestClassSettings>& classes) : classes_(classes) {
    baseline_us_.reserve(classes.size());
    for (const auto& settings : classes)
        baseline_us_.push_back(as_double(settings.latency_objective_us) / kInitialObjectiveDivisor);
}

double LatencyBaseline::min_baseline_us() const {
    return *std::min_element(baseline_us_.begin(), baseline_us_.end());
}

double LatencyBaseline::work_s(std::size_t class_index) const {
    return baseline_us_[class_index] / kMicrosPerSecond;
}

double LatencyBaseline::ratio(std::size_t class_index, Micros latency_us) const {
    return as_double(latency_us) / baseline_us_[class_index];
}

void LatencyBaseline::update(std::size_t class_index, double latency_ratio) {
    auto& baseline_us = baseline_us_[class_index];
    const double objective_us = as_double(classes_[class_index].latency_objective_us);
    baseline_us = std::min(baseline_us * (latency_ratio > 1 ? kIncreaseFactor : kDecreaseFactor),
                           kMaxObjectiveRatio * objective_us);
}

void LatencyBaseline::update_fleet(double latency_ratio) {
    fleet_ratio_ += kLatencyDecreaseStep * (std::min(latency_ratio, kMaxLatencyRatio) - fleet_ratio_);
}

std::vector<std::size_t> LatencyBaseline::classes_by_weight_per_work() const {
    std::vector<std::size_t> order(classes_.size());
    for (std::size_t index = 0; index < order.size(); ++index) order[index] = index;
    std::stable_sort(order.begin(), order.end(), [this](std::size_t left, std::size_t right) {
        return classes_[left].priority_weight / baseline_us_[left] >
               classes_[right].priority_weight / baseline_us_[right];
    });
    return order;
}

}  // namespace sloestack::decision
