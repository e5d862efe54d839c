// Builds the HTTP requests for discovery's endpoint list.
#pragma once

#include <cstdint>
#include <string>

#include "sloestack/router.h"

namespace sloestack::discovery {

// Requests the complete list. Discovery responds at once.
std::string complete_list_request(const std::string& host);

// Requests the changes after `revision`. Discovery holds the request until there is a change, for at most
// `hold_us`, rounded down to milliseconds.
std::string changes_request(const std::string& host, std::int64_t revision, decision::Micros hold_us);

}  // namespace sloestack::discovery
