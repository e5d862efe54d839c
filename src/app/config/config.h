// What the program is told at its start: the EDGE_* variables and the JSON file that EDGE_CONFIG names.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "settings/settings.h"

namespace sloestack::config {

// One line that names the key at fault.
struct BadConfig : std::runtime_error {
    BadConfig(const std::string& key, const std::string& why) : std::runtime_error(key + ": " + why) {}
};

struct Config {
    std::string name;
    sockaddr_in listen{}, discovery{};
    std::optional<sockaddr_in> control;  // the operators' door; none where neither file nor variable says
    std::optional<int> passed_socket;    // the clients' listening socket where the platform holds it
    std::string scratch;                 // a folder that the processes of one proxy share; may be empty
    std::string discovery_host;
    std::string discovery_in_file;  // empty where the file names none
    std::uint64_t seed = 0;
    int sockets = 0;
    std::int64_t memory_mb = 0;
    nlohmann::json known;  // the list of members as this proxy last had it; may be null
    settings::InstanceSettings settings;
};

// Where a variable and the file both tell something, the variable counts. Throws BadConfig.
using Variable = std::function<const char*(const char* name)>;  // as getenv
Config read(const nlohmann::json& file, const Variable& variable);
Config load(const Variable& variable);  // from the file that EDGE_CONFIG names
Config load_from_environment();
sockaddr_in discovery_address(const std::string& text);
// The nested settings as the simulator's path=value lines.
std::string flatten(const nlohmann::json& settings);

}  // namespace sloestack::config
