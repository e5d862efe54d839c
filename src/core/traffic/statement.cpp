#include "traffic/statement.h"

#include <algorithm>

namespace sloestack::traffic {
namespace {

constexpr Micros kMicrosPerMillisecond = 1'000;

}  // namespace

std::string Statement::format_time_left(Micros left) {
    const Micros rounded = (left + kMicrosPerMillisecond / 2) / kMicrosPerMillisecond;
    return std::to_string(std::max<Micros>(1, rounded));
}

std::string Statement::format_time_left(Micros left, std::size_t digits) {
    const auto shortest = format_time_left(left);
    if (shortest.size() > digits) return std::string(digits, '9');
    return std::string(digits - shortest.size(), '0') + shortest;
}

std::string Statement::with_time_left(Micros left) const {
    std::string out = text;
    out.replace(time_left_offset, time_left_size, format_time_left(left));
    return out;
}

}  // namespace sloestack::traffic
