// Maps start-up settings, given as path=value lines, to typed fields by the
// tables in settings.cpp. The simulator adapter and the proxy on sockets
// both read their settings here, so that a key has the same meaning in both.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/setting_error.h"
#include "sloestack/router.h"

namespace sloestack::settings {

// Names of the load report values that the decision module uses.
constexpr const char* kPositionReportField = "x0";
constexpr const char* kRoleReportField = "x1";

struct InstanceSettings {
    decision::Settings router;
    decision::Time position_base = 0;        // reported positions are relative to this time
    std::vector<std::string> report_fields;  // names of the values in a load report, in order

    // Used only by the proxy on sockets:
    std::vector<std::string> class_names;  // one per request class; empty if the class has no name
    std::vector<std::string> zone_names;
    decision::Micros connect_timeout_us = 0;  // 0: not set
    decision::Micros idle_limit_us = 0;       // endpoints close connections after this idle time; 0: not set
};

// Parses path=value lines; skips unknown keys. Throws SettingError (a std::invalid_argument) for the first
// setting that is required and missing, or that cannot be read.
InstanceSettings parse_settings(std::string_view text);

}  // namespace sloestack::settings
