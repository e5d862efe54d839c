// The configuration of a proxy whose endpoints are emulators: the request classes of the roster system, with
// the times and rules that its operators state.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace emulator {

// Returns the contents of the file that EDGE_CONFIG names. `known` is a complete endpoint list, or null.
nlohmann::json proxy_config(const std::string& listen, const std::string& discovery,
                            const nlohmann::json& known, int sockets);
// Adds the request class of session reads. `brought`: clients send the position of their last write;
// otherwise the proxy keeps it.
void add_sessions(nlohmann::json& config, bool brought);

}  // namespace emulator
