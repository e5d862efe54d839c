// Conversions between integer microseconds and floating point, for computing rates and ratios.
#pragma once

#include <cstdint>

#include "sloestack/router.h"

namespace sloestack::decision {

constexpr double as_double(std::int64_t value) { return static_cast<double>(value); }
// Rounds towards zero.
constexpr Micros as_micros(double value) { return static_cast<Micros>(value); }
constexpr double kMicrosPerSecond = 1e6;

}  // namespace sloestack::decision
