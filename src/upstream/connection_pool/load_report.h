// Reads load reports, which endpoints of every protocol give in the same form: name=value pairs with commas
// between them. Pure. Names on the wire: x0 is the replication position in seconds of Unix time, x1 the role
// (1 primary, 0 replica); others are ignored.
#pragma once

#include <optional>
#include <string_view>

#include "sloestack/router.h"

namespace sloestack::upstream {

// Empty where any pair cannot be read: the rest of a damaged report is not trusted.
decision::ReplicationStatus parse_load_report(std::string_view text);
// A finite decimal number that takes up all of `text`.
std::optional<double> parse_number(std::string_view text);
// A replication position, in microseconds of Unix time, from a value in units of `unit_us` microseconds;
// nothing for 0, which stands for none, and for times that cannot be positions.
std::optional<decision::Time> parse_position(double value, double unit_us);

}  // namespace sloestack::upstream
