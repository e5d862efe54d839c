#include "latency_baseline.h"

#include <algorithm>

#include "conversions.h"

namespace sloestack::decision {
namespace {

constexpr double kInitialObjectiveDivisor = 5;  // the usual latency starts at the objective divided by this
constexpr double kMaxShareOfObjective = 0.3;    // a longer usual latency is congestion, not work
constexpr double kStepUp = 1.01;
constexpr double kStepDown = 0.99;

}  // namespace

LatencyBaseline::LatencyBaseline(const std::vector<RequestClassSettings>& classes) : classes_(classes) {
    usual_us_.reserve(classes.size());
    for (const auto& settings : classes)
        usual_us_.push_back(as_double(settings.latency_objective_us) / kInitialObjectiveDivisor);
}

double LatencyBaseline::shortest_usual_us() const {
    return *std::min_element(usual_us_.begin(), usual_us_.end());
}

double LatencyBaseline::work_s(std::size_t class_index) const {
    return usual_us_[class_index] / kMicrosPerSecond;
}

double LatencyBaseline::ratio(std::size_t class_index, Micros latency_us) const {
    return as_double(latency_us) / usual_us_[class_index];
}

void LatencyBaseline::learn(std::size_t class_index, double latency_ratio) {
    auto& usual_us = usual_us_[class_index];
    const double objective_us = as_double(classes_[class_index].latency_objective_us);
    usual_us =
        std::min(usual_us * (latency_ratio > 1 ? kStepUp : kStepDown), kMaxShareOfObjective * objective_us);
}

void LatencyBaseline::learn_fleet(double latency_ratio) {
    fleet_ratio_ += kLatencyDecreaseStep * (std::min(latency_ratio, kMaxLatencyRatio) - fleet_ratio_);
}

std::vector<std::size_t> LatencyBaseline::by_weight_for_work() const {
    std::vector<std::size_t> order(classes_.size());
    for (std::size_t index = 0; index < order.size(); ++index) order[index] = index;
    std::stable_sort(order.begin(), order.end(), [this](std::size_t left, std::size_t right) {
        return classes_[left].priority_weight / usual_us_[left] >
               classes_[right].priority_weight / usual_us_[right];
    });
    return order;
}

}  // namespace sloestack::decision
