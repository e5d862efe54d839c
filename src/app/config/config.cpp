#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <fstream>

#include "transport/connection.h"

namespace sloestack::config {
namespace {

using nlohmann::json;

constexpr std::int64_t kFewestSockets = 64, kMostSockets = 1'000'000;
constexpr std::int64_t kLeastMemoryMb = 16, kMostMemoryMb = 1 << 24;

std::string plain(const json& value) {
    if (value.is_null()) return {};
    auto text = value.is_string() ? value.get<std::string>() : value.dump();
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c == ' ' || c == ',' || c == '\n'; }, '_');
    return text;
}

void flatten(const json& value, const std::string& path, std::string& out) {
    const auto below = [&](const std::string& name) { return path.empty() ? name : path + "." + name; };
    if (value.is_object()) {
        for (const auto& [name, inner] : value.items()) flatten(inner, below(name), out);
    } else if (value.is_array() && !value.empty() && value.front().is_object()) {
        out += below("count") + "=" + std::to_string(value.size()) + "\n";
        for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], below(std::to_string(i)), out);
    } else if (value.is_array()) {
        out += path + "=";
        for (std::size_t i = 0; i < value.size(); ++i) out += (i ? "," : "") + plain(value[i]);
        out += "\n";
    } else {
        out += path + "=" + plain(value) + "\n";
    }
}

json read_file(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw BadConfig("EDGE_CONFIG", "cannot read " + path);
    auto out = json::parse(in, nullptr, false);
    if (!out.is_object()) throw BadConfig("EDGE_CONFIG", "no JSON object in " + path);
    return out;
}

std::string text_of(const json& file, const char* key, const char* variable, const char* name) {
    if (variable && *variable) return variable;
    const auto found = file.find(key);
    if (found == file.end()) throw BadConfig(name, std::string("missing, and so is ") + key);
    if (!found->is_string()) throw BadConfig(key, "not a text");
    return found->get<std::string>();
}

sockaddr_in address_of(const std::string& text, const char* key) {
    const auto out = net::parse_address(text);
    if (!out) throw BadConfig(key, "not an address with a port: " + text);
    return *out;
}

std::optional<int> descriptor_of(const char* text) {
    if (!text || !*text) return std::nullopt;
    int out = 0;
    const auto* last = text + std::strlen(text);
    const auto [end, error] = std::from_chars(text, last, out);
    if (error != std::errc() || end != last || out < 0)
        throw BadConfig("EDGE_PASSED_SOCKET", std::string("not a descriptor: ") + text);
    return out;
}

std::uint64_t seed_of(const json& file) {
    const auto found = file.find("seed");
    if (found == file.end()) throw BadConfig("seed", "missing");
    if (found->is_number_unsigned()) return found->get<std::uint64_t>();
    if (!found->is_string()) throw BadConfig("seed", "neither a number nor hexadecimal text");
    const auto text = found->get<std::string>();
    std::uint64_t out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, 16);
    if (error != std::errc() || end != text.data() + text.size())
        throw BadConfig("seed", "not hexadecimal: " + text);
    return out;
}

std::int64_t limit_of(const json& file, const char* key, std::int64_t least, std::int64_t most) {
    const auto name = std::string("limits.") + key;
    const auto limits = file.find("limits");
    if (limits == file.end() || !limits->is_object()) throw BadConfig("limits", "missing");
    const auto found = limits->find(key);
    if (found == limits->end() || !found->is_number()) throw BadConfig(name, "no number");
    const auto out = found->get<double>();
    if (!(out >= static_cast<double>(least) && out <= static_cast<double>(most)))
        throw BadConfig(name, "out of range");
    return static_cast<std::int64_t>(out);
}

}  // namespace

std::string flatten(const json& settings) {
    std::string out;
    flatten(settings, "", out);
    return out;
}

Config load(const Variable& variable) {
    const auto* path = variable("EDGE_CONFIG");
    if (!path || !*path) throw BadConfig("EDGE_CONFIG", "missing");
    return read(read_file(path), variable);
}

Config read(const json& file, const Variable& variable) {
    Config out;
    out.name = text_of(file, "name", variable("EDGE_NAME"), "EDGE_NAME");
    out.listen = address_of(text_of(file, "listen", variable("EDGE_LISTEN"), "EDGE_LISTEN"), "EDGE_LISTEN");
    out.discovery_host = text_of(file, "discovery", variable("EDGE_DISCOVERY"), "EDGE_DISCOVERY");
    out.discovery = address_of(out.discovery_host, "EDGE_DISCOVERY");
    if (const auto* said = variable("EDGE_CONTROL"); (said && *said) || file.contains("control"))
        out.control = address_of(text_of(file, "control", said, "EDGE_CONTROL"), "EDGE_CONTROL");
    out.passed_socket = descriptor_of(variable("EDGE_PASSED_SOCKET"));
    if (const auto* scratch = variable("TMPDIR")) out.scratch = scratch;
    if (const auto named = file.find("discovery"); named != file.end() && named->is_string())
        out.discovery_in_file = named->get<std::string>();
    out.seed = seed_of(file);
    out.sockets = static_cast<int>(limit_of(file, "sockets", kFewestSockets, kMostSockets));
    out.memory_mb = limit_of(file, "memory_mb", kLeastMemoryMb, kMostMemoryMb);
    out.known = file.value("known", json());
    const auto settings = file.find("settings");
    if (settings == file.end() || !settings->is_object()) throw BadConfig("settings", "missing");
    try {
        out.settings = settings::parse_settings(flatten(*settings));
    } catch (const std::invalid_argument& error) {
        throw BadConfig(std::string("settings"), error.what());
    }
    return out;
}

sockaddr_in discovery_address(const std::string& text) { return address_of(text, "discovery"); }

Config load_from_environment() {
    return load([](const char* name) { return std::getenv(name); });
}

}  // namespace sloestack::config
