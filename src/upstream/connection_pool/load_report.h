// Parses load reports, which have the same form in every protocol: name=value pairs separated by commas. The
// name x0 is the replication position in seconds of Unix time, x1 the role (1 primary, 0 replica); others are
// ignored. Does no input or output.
#pragma once

#include <optional>
#include <string_view>

#include "sloestack/router.h"

namespace sloestack::upstream {

// Returns an empty status if any pair cannot be parsed: the rest of a damaged report is not trusted.
decision::ReplicationStatus parse_load_report(std::string_view text);
// Parses a finite decimal number; std::nullopt if `text` is anything else.
std::optional<double> parse_number(std::string_view text);
// Converts a replication position from units of `unit_us` microseconds to microseconds of Unix time. Returns
// std::nullopt for 0, which means that the endpoint has no position, and for values out of range.
std::optional<decision::Time> parse_position(double value, double unit_us);

}  // namespace sloestack::upstream
