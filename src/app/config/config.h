// The program's configuration: the EDGE_* environment variables and the JSON file that EDGE_CONFIG names.
// Where both give a value, the variable takes precedence.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "config/flatten.h"
#include "settings/settings.h"

namespace sloestack::config {

// what() is "KEY: REASON"; the key is one of the file or the name of a variable.
class ConfigError : public std::runtime_error {
public:
    ConfigError(std::string key, std::string reason);
    const std::string& key() const { return key_; }
    const std::string& reason() const { return reason_; }

private:
    std::string key_;
    std::string reason_;
};

struct Config {
    std::string name;
    sockaddr_in listen{};     // where clients connect
    sockaddr_in discovery{};  // where endpoint lists are polled
    std::optional<sockaddr_in>
        control;                       // the operators' server; none where neither file nor variable names it
    std::optional<int> passed_socket;  // the clients' listening socket, where the platform holds it
    std::string scratch;               // a folder that the processes of one proxy share; may be empty
    std::string discovery_host;        // as configured, host:port
    std::string discovery_in_file;     // empty where the file names none
    std::uint64_t seed = 0;
    int sockets = 0;  // the most descriptors that may be open
    std::int64_t memory_mb = 0;
    nlohmann::json known;  // the endpoint list as this proxy last had it; may be null
    settings::InstanceSettings settings;
};

// Returns the value of an environment variable, null if it is not set; as std::getenv does.
using Variable = std::function<const char*(const char* name)>;

// Each of these throws ConfigError for the first value that is missing or cannot be used.
Config parse(const nlohmann::json& file, const Variable& variable);
Config load(const Variable& variable);  // from the file that EDGE_CONFIG names
Config load_from_environment();
sockaddr_in discovery_address(const std::string& text);

}  // namespace sloestack::config
