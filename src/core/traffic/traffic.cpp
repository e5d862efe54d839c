#include "traffic/traffic.h"

#include <algorithm>

namespace sloestack::traffic {

std::string Statement::time_left(Micros left) {
    return std::to_string(std::max<Micros>(1, (left + 500) / 1000));
}

std::string Statement::with_time_left(Micros left) const {
    std::string out = text;
    out.replace(left_at, left_size, time_left(left));
    return out;
}

}  // namespace sloestack::traffic
