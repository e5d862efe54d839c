#include "comeback/comeback.h"

#include <algorithm>
#include <utility>

namespace nettletrestle::route {

// Half of the interval for asking is left for calls that fail.
Comeback::Comeback(const Settings& settings) {
    const Micros most = settings.ask_every_us > 0 ? std::max(kWait, settings.ask_every_us / 2) : kWaitMost;
    window_ = std::clamp(settings.routers * kCallShare, kWait, most);
    believes_listed_ =
        settings.position_check != PositionCheck::none || !(settings.may_probe && settings.probes_report);
}

Micros Comeback::first_call(double draw) const {
    return static_cast<Micros>(draw * static_cast<double>(window_)) + 1;
}

Micros Comeback::call_failed(double draw) {
    wait_ = std::min(kWaitMost, wait_ * 2);
    const Micros wait = state_ == State::cold ? std::max(wait_, window_) : wait_;
    return static_cast<Micros>(static_cast<double>(wait) * (0.5 + draw));
}

void Comeback::list_told() {
    wait_ = kWait;
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

Micros first_hold(std::uint64_t seed, Micros full) {
    // SplitMix64's finalizer (Steele, Lea and Flood 2014).
    auto x = seed + 0x9e3779b97f4a7c15u;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    x ^= x >> 31;
    const auto ms = static_cast<std::uint64_t>(std::max<Micros>(1, full / 1000));
    return static_cast<Micros>(1 + x % ms) * 1000;
}

}  // namespace nettletrestle::route
