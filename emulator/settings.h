// The configuration of a proxy before stand-ins: the roster's classes with the times and rules of its
// operators.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace emulator {

// As EDGE_CONFIG's file has it. `known` is discovery's whole list, or null.
nlohmann::json proxy_config(const std::string& listen, const std::string& discovery,
                            const nlohmann::json& known, int sockets);
// Adds the class of session reads; `brought`: clients carry their last commit, else a proxy keeps it.
void add_sessions(nlohmann::json& config, bool brought);

}  // namespace emulator
