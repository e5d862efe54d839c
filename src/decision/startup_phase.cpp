#include "startup_phase.h"

#include <algorithm>
#include <utility>

namespace sloestack::decision {

StartupPhase::StartupPhase(const Settings& settings)
    : trusts_listed_primary_(settings.position_check != PositionCheck::none ||
                             !(settings.health_checks_allowed && settings.health_checks_report_status)) {}

void StartupPhase::on_list_received() {
    if (state_ != State::cold) return;
    state_ = State::learning, told_of_ = false;
    judge();
}

void StartupPhase::on_request(int group) {
    if (state_ != State::serving) asked_.insert(group);
}

void StartupPhase::on_role_reported(int group) {
    if (state_ == State::serving) return;
    heard_.insert(group);
    judge();
}

void StartupPhase::judge() {
    if (state_ != State::learning || asked_.empty()) return;
    const auto known =
        std::count_if(asked_.begin(), asked_.end(), [this](int g) { return heard_.count(g) > 0; });
    if (static_cast<double>(known) < kConfirmedGroupRatio * static_cast<double>(asked_.size())) return;
    state_ = State::serving, told_of_ = false;
    asked_.clear(), heard_.clear();
}

std::optional<std::string> StartupPhase::take_transition(Micros since_start) {
    if (std::exchange(told_of_, true)) return std::nullopt;
    return (state_ == State::learning ? "startup phase: learning after " : "startup phase: serving after ") +
           std::to_string(since_start / 1000) + " ms";
}

}  // namespace sloestack::decision
