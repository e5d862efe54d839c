#include "schedule/timeline.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace sloestack::schedule {
namespace {

// Beyond these a run would take years, or be over before its first packet.
constexpr double kSlowest = 0.001, kFastest = 10'000;

void in_range(double value, const char* what) {
    if (!(value >= kSlowest && value <= kFastest))
        throw std::invalid_argument(std::string(what) + " must lie between 0.001 and 10000");
}

}  // namespace

Timeline::Timeline(double speed, std::optional<Stretch> stretch) : speed_(speed), stretch_(stretch) {
    in_range(speed, "speed");
    if (!stretch) return;
    in_range(stretch->factor, "the stretch's factor");
    if (stretch->from < 0 || stretch->to <= stretch->from)
        throw std::invalid_argument("the stretch must end after it begins, and begin at 0 or later");
}

Micros Timeline::due(Micros since_first) const {
    auto at = static_cast<double>(since_first);
    if (stretch_) {
        const auto from = static_cast<double>(stretch_->from), to = static_cast<double>(stretch_->to);
        const double inside = std::clamp(at, from, to) - from;
        at += inside * (stretch_->factor - 1);
    }
    return static_cast<Micros>(std::llround(at / speed_));
}

}  // namespace sloestack::schedule
