// Start-up settings as sent on the wire: path=value lines, translated into nettletrestle::Settings.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "nettletrestle/router.h"

namespace benchlink {

struct InstanceSettings {
    nettletrestle::Settings router;
    nettletrestle::Time position_base = 0;   // positions count from here
    std::vector<std::string> report_fields;  // names of the values in a load report
};

// Throws std::invalid_argument naming the key that is missing or cannot be read.
InstanceSettings parse_settings(std::string_view text);

}  // namespace benchlink
