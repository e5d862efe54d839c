#include "startup_phase.h"

#include <algorithm>
#include <utility>

namespace sloestack::decision {

Comeback::Comeback(const Settings& settings)
    : believes_listed_(settings.position_check != PositionCheck::none ||
                       !(settings.may_probe && settings.probes_report)) {}

void Comeback::list_told() {
    if (state_ != State::cold) return;
    state_ = State::learning, told_of_ = false;
    judge();
}

void Comeback::asked(int group) {
    if (state_ != State::serving) asked_.insert(group);
}

void Comeback::heard(int group) {
    if (state_ == State::serving) return;
    heard_.insert(group);
    judge();
}

void Comeback::judge() {
    if (state_ != State::learning || asked_.empty()) return;
    const auto known =
        std::count_if(asked_.begin(), asked_.end(), [this](int g) { return heard_.count(g) > 0; });
    if (static_cast<double>(known) < kHeardShare * static_cast<double>(asked_.size())) return;
    state_ = State::serving, told_of_ = false;
    asked_.clear(), heard_.clear();
}

std::optional<std::string> Comeback::moved(Micros since_start) {
    if (std::exchange(told_of_, true)) return std::nullopt;
    return (state_ == State::learning ? "comeback: learning after " : "comeback: serving after ") +
           std::to_string(since_start / 1000) + " ms";
}

}  // namespace sloestack::decision
