// Start-up settings as path=value lines, translated into decision::Settings. The simulator's adapter and
// the real proxy both read their settings here, so that a name means the same to both.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::settings {

struct InstanceSettings {
    decision::Settings router;
    decision::Time position_base = 0;        // positions count from here
    std::vector<std::string> report_fields;  // names of the values in a load report
    // What only a proxy on sockets needs to know:
    std::vector<std::string> class_names;
    std::vector<std::string> zone_names;
    decision::Micros connect_timeout_us = 0;  // 0: not told
    decision::Micros idle_limit_us = 0;       // members close connections that stood idle this long
};

// Throws std::invalid_argument naming the key that is missing or cannot be read.
InstanceSettings parse_settings(std::string_view text);

}  // namespace sloestack::settings
