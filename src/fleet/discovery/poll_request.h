// The HTTP request that asks discovery for its endpoint list.
#pragma once

#include <cstdint>
#include <string>

#include "sloestack/router.h"

namespace sloestack::discovery {

// Asks for the complete list, answered at once.
std::string complete_list_request(const std::string& host);

// Asks for what has changed after `revision`. Discovery holds the request back until there is a change, for
// `hold_us` at most.
std::string changes_request(const std::string& host, std::int64_t revision, decision::Micros hold_us);

}  // namespace sloestack::discovery
