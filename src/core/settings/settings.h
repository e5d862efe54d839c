// Start-up settings as path=value lines, mapped to typed fields by the tables in settings.cpp. The
// simulator's adapter and the proxy on sockets both read their settings here, so that a name means the same
// to both.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/setting_error.h"
#include "sloestack/router.h"

namespace sloestack::settings {

// Names of the values in a load report that the decision module uses.
constexpr const char* kPositionReportField = "x0";
constexpr const char* kRoleReportField = "x1";

struct InstanceSettings {
    decision::Settings router;
    decision::Time position_base = 0;        // positions count from here
    std::vector<std::string> report_fields;  // names of the values in a load report, in their order

    // Used only by the proxy on sockets:
    std::vector<std::string> class_names;  // one a class, empty where it has none
    std::vector<std::string> zone_names;
    decision::Micros connect_timeout_us = 0;  // 0: not set
    decision::Micros idle_limit_us = 0;       // endpoints close connections idle this long; 0: not set
};

// Unknown keys are skipped. Throws SettingError (a std::invalid_argument) for the first setting that is
// required and missing, or that cannot be read.
InstanceSettings parse_settings(std::string_view text);

}  // namespace sloestack::settings
