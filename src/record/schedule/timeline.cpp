#include "schedule/timeline.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace sloestack::schedule {
namespace {

// Outside these bounds a run would take years, or end at once.
constexpr double kMinFactor = 0.001, kMaxFactor = 10'000;

void check_range(double value, const char* name) {
    if (!(value >= kMinFactor && value <= kMaxFactor))
        throw std::invalid_argument(std::string(name) + " must lie between 0.001 and 10000");
}

}  // namespace

Timeline::Timeline(double speed, std::optional<Stretch> stretch) : speed_(speed), stretch_(stretch) {
    check_range(speed, "speed");
    if (!stretch) return;
    check_range(stretch->factor, "the factor of the stretch");
    if (stretch->from < 0 || stretch->to <= stretch->from)
        throw std::invalid_argument("the stretch must begin at 0 or later, and end after it begins");
}

Micros Timeline::due(Micros since_first) const {
    auto stretched = static_cast<double>(since_first);
    if (stretch_) {
        const auto from = static_cast<double>(stretch_->from), to = static_cast<double>(stretch_->to);
        const double inside = std::clamp(stretched, from, to) - from;
        stretched += inside * (stretch_->factor - 1);
    }
    return static_cast<Micros>(std::llround(stretched / speed_));
}

}  // namespace sloestack::schedule
