// Reads settings in text form, one path=value line per setting, by key and type.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "settings/setting_error.h"

namespace sloestack::settings {

// A setting with an empty value counts as absent. The typed reads throw SettingError if the value is absent
// or is not of their type.
class SettingReader {
public:
    // Skips lines without '='. If a key occurs more than once, the first line is used.
    explicit SettingReader(std::string_view lines);

    // Returns null if the setting is absent.
    const std::string* find(const std::string& key) const;
    const std::string& text(const std::string& key) const;
    // A finite number in decimal form.
    double number(const std::string& key) const;
    // true, false, 1 or 0.
    bool flag(const std::string& key) const;
    // Returns the comma-separated parts, or an empty list if the setting is absent; does not throw.
    std::vector<std::string> list(const std::string& key) const;

private:
    std::map<std::string, std::string, std::less<>> values_;
};

}  // namespace sloestack::settings
