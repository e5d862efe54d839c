#include "startup_phase.h"

#include <algorithm>
#include <utility>

namespace sloestack::decision {

StartupPhase::StartupPhase(const Settings& settings)
    : trusts_listed_primary_(settings.position_check != PositionCheck::none ||
                             !(settings.health_checks_allowed && settings.health_checks_report_status)) {}

void StartupPhase::on_list_received() {
    if (state_ != State::cold) return;
    enter(State::learning);
    enter_serving_if_confirmed();
}

void StartupPhase::on_request(int replica_group) {
    if (state_ != State::serving) requested_groups_.insert(replica_group);
}

void StartupPhase::on_role_reported(int replica_group) {
    if (state_ == State::serving) return;
    confirmed_groups_.insert(replica_group);
    enter_serving_if_confirmed();
}

void StartupPhase::enter_serving_if_confirmed() {
    if (state_ != State::learning || requested_groups_.empty()) return;
    const auto confirmed = std::count_if(requested_groups_.begin(), requested_groups_.end(),
                                         [this](int group) { return confirmed_groups_.count(group) > 0; });
    const auto requested = static_cast<double>(requested_groups_.size());
    if (static_cast<double>(confirmed) < kConfirmedGroupRatio * requested) return;
    enter(State::serving);
    requested_groups_.clear();
    confirmed_groups_.clear();
}

void StartupPhase::enter(State state) {
    state_ = state;
    is_transition_reported_ = false;
}

std::optional<std::string> StartupPhase::take_transition_message(Micros since_start_us) {
    if (std::exchange(is_transition_reported_, true)) return std::nullopt;
    const char* state = state_ == State::learning ? "learning" : "serving";
    return std::string("startup phase: ") + state + " after " + std::to_string(since_start_us / 1000) + " ms";
}

}  // namespace sloestack::decision
