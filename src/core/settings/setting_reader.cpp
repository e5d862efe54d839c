#include "settings/setting_reader.h"

#include <charconv>
#include <cmath>

namespace sloestack::settings {

SettingReader::SettingReader(std::string_view lines) {
    while (!lines.empty()) {
        const auto end = lines.find('\n');
        auto line = lines.substr(0, end);
        lines = end == std::string_view::npos ? std::string_view{} : lines.substr(end + 1);
        if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
        const auto equals = line.find('=');
        if (equals != std::string_view::npos)
            values_.emplace(line.substr(0, equals), line.substr(equals + 1));
    }
}

const std::string* SettingReader::find(const std::string& key) const {
    const auto found = values_.find(key);
    return found == values_.end() || found->second.empty() ? nullptr : &found->second;
}

const std::string& SettingReader::text(const std::string& key) const {
    const auto* value = find(key);
    if (!value) throw SettingError(key, "missing");
    return *value;
}

double SettingReader::number(const std::string& key) const {
    const std::string& value = text(key);
    double out = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), out);
    if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(out))
        throw SettingError(key, "not a number: " + value);
    return out;
}

bool SettingReader::flag(const std::string& key) const {
    const std::string& value = text(key);
    if (value == "true" || value == "1") return true;
    if (value == "false" || value == "0") return false;
    throw SettingError(key, "not true or false: " + value);
}

std::vector<std::string> SettingReader::list(const std::string& key) const {
    std::vector<std::string> out;
    const auto* value = find(key);
    if (!value) return out;
    std::size_t from = 0;
    while (true) {
        const auto comma = value->find(',', from);
        out.push_back(value->substr(from, comma - from));
        if (comma == std::string::npos) return out;
        from = comma + 1;
    }
}

}  // namespace sloestack::settings
