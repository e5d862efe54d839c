// The program's configuration: the EDGE_* environment variables and the JSON file that EDGE_CONFIG names. If
// both set a value, the environment variable takes precedence.
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

// what() is "KEY: REASON", where KEY is a key of the file or the name of an environment variable.
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
    sockaddr_in listen{};                      // for clients
    sockaddr_in discovery{};                   // polled for endpoint lists
    std::optional<sockaddr_in> admin_address;  // of the admin server; unset if not configured
    std::optional<int> passed_socket;          // the clients' listening socket, if the platform passes one
    std::string scratch_directory;             // shared by the processes of one proxy; may be empty
    std::string discovery_host;                // host:port of `discovery`, as configured
    std::string discovery_in_file;             // host:port in the file; empty if the file has none
    std::uint64_t seed = 0;
    int max_sockets = 0;  // the limit on open descriptors
    std::int64_t memory_mb = 0;
    nlohmann::json known_list;  // the endpoint list that this proxy last received; may be null
    settings::InstanceSettings settings;
};

// Returns the value of an environment variable, or null if it is not set, like std::getenv.
using Environment = std::function<const char*(const char* name)>;

// Each of these functions throws ConfigError for the first value that is missing or invalid.
Config parse(const nlohmann::json& file, const Environment& environment);
Config load(const Environment& environment);  // reads the file that EDGE_CONFIG names
Config load_from_environment();               // uses std::getenv
// Parses the file's value of "discovery".
sockaddr_in discovery_address(const std::string& host_port);

}  // namespace sloestack::config
