#include "config/config.h"

#include <charconv>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <utility>

#include "transport/connection.h"

namespace sloestack::config {
namespace {

using nlohmann::json;

constexpr std::int64_t kMinSockets = 64;
constexpr std::int64_t kMaxSockets = 1'000'000;
constexpr std::int64_t kMinMemoryMb = 16;
constexpr std::int64_t kMaxMemoryMb = 1 << 24;
constexpr int kSeedBase = 16;

json read_file(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw ConfigError("EDGE_CONFIG", "cannot read " + path);
    auto out = json::parse(in, nullptr, false);
    if (!out.is_object()) throw ConfigError("EDGE_CONFIG", "not a JSON object: " + path);
    return out;
}

// Returns the value of the environment variable `variable` if
// it is set and not empty, otherwise the file's value of `key`.
std::string text_of(const json& file, const char* key, const char* value, const char* variable) {
    if (value && *value) return value;
    const auto found = file.find(key);
    if (found == file.end())
        throw ConfigError(variable, std::string("not set, and missing from the file under the key ") + key);
    if (!found->is_string()) throw ConfigError(key, "not a string");
    return found->get<std::string>();
}

sockaddr_in address_of(const std::string& text, const char* key) {
    const auto out = net::parse_address(text);
    if (!out) throw ConfigError(key, "not an IPv4 address and a port: " + text);
    return *out;
}

std::optional<int> descriptor_of(const char* text) {
    if (!text || !*text) return std::nullopt;
    int out = 0;
    const auto* last = text + std::strlen(text);
    const auto [end, error] = std::from_chars(text, last, out);
    if (error != std::errc() || end != last || out < 0)
        throw ConfigError("EDGE_PASSED_SOCKET", std::string("not a file descriptor number: ") + text);
    return out;
}

std::uint64_t seed_of(const json& file) {
    const auto found = file.find("seed");
    if (found == file.end()) throw ConfigError("seed", "missing");
    if (found->is_number_unsigned()) return found->get<std::uint64_t>();
    if (!found->is_string()) throw ConfigError("seed", "not an unsigned integer or a hexadecimal string");
    const auto text = found->get<std::string>();
    std::uint64_t out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, kSeedBase);
    if (error != std::errc() || end != text.data() + text.size())
        throw ConfigError("seed", "not a hexadecimal number of up to 64 bits: " + text);
    return out;
}

std::int64_t limit_of(const json& file, const char* key, std::int64_t min, std::int64_t max) {
    const auto name = std::string("limits.") + key;
    const auto limits = file.find("limits");
    if (limits == file.end() || !limits->is_object()) throw ConfigError("limits", "missing or not an object");
    const auto found = limits->find(key);
    if (found == limits->end() || !found->is_number()) throw ConfigError(name, "missing or not a number");
    const auto out = found->get<double>();
    if (!(out >= static_cast<double>(min) && out <= static_cast<double>(max)))
        throw ConfigError(name, "out of range");
    return static_cast<std::int64_t>(out);
}

std::optional<sockaddr_in> admin_address(const json& file, const char* value) {
    const bool is_set = value && *value;
    if (!is_set && !file.contains("control")) return std::nullopt;
    return address_of(text_of(file, "control", value, "EDGE_CONTROL"), "EDGE_CONTROL");
}

settings::InstanceSettings settings_of(const json& file) {
    const auto settings = file.find("settings");
    if (settings == file.end() || !settings->is_object())
        throw ConfigError("settings", "missing or not an object");
    try {
        return settings::parse_settings(flatten(*settings));
    } catch (const settings::SettingError& error) {
        throw ConfigError("settings", error.what());
    }
}

}  // namespace

ConfigError::ConfigError(std::string key, std::string reason)
    : std::runtime_error(key + ": " + reason), key_(std::move(key)), reason_(std::move(reason)) {}

Config load(const Environment& environment) {
    const auto* path = environment("EDGE_CONFIG");
    if (!path || !*path) throw ConfigError("EDGE_CONFIG", "not set");
    return parse(read_file(path), environment);
}

Config parse(const json& file, const Environment& environment) {
    Config out;
    out.name = text_of(file, "name", environment("EDGE_NAME"), "EDGE_NAME");
    out.listen =
        address_of(text_of(file, "listen", environment("EDGE_LISTEN"), "EDGE_LISTEN"), "EDGE_LISTEN");
    out.discovery_host = text_of(file, "discovery", environment("EDGE_DISCOVERY"), "EDGE_DISCOVERY");
    out.discovery = address_of(out.discovery_host, "EDGE_DISCOVERY");
    out.admin_address = admin_address(file, environment("EDGE_CONTROL"));
    out.passed_socket = descriptor_of(environment("EDGE_PASSED_SOCKET"));
    if (const auto* directory = environment("TMPDIR")) out.scratch_directory = directory;
    if (const auto found = file.find("discovery"); found != file.end() && found->is_string())
        out.discovery_in_file = found->get<std::string>();
    out.seed = seed_of(file);
    out.max_sockets = static_cast<int>(limit_of(file, "sockets", kMinSockets, kMaxSockets));
    out.memory_mb = limit_of(file, "memory_mb", kMinMemoryMb, kMaxMemoryMb);
    out.known_list = file.value("known", json());
    out.settings = settings_of(file);
    return out;
}

sockaddr_in discovery_address(const std::string& host_port) { return address_of(host_port, "discovery"); }

Config load_from_environment() {
    return load([](const char* name) { return std::getenv(name); });
}

}  // namespace sloestack::config
