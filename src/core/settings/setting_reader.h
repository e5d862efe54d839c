// The text form of the settings: one path=value line each, read by key and type.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "settings/setting_error.h"

namespace sloestack::settings {

// A setting with an empty value counts as absent. Each typed read throws SettingError where the value is
// absent or is not of its type.
class SettingReader {
public:
    // Lines without '=' are skipped; of a key that occurs more than once the first line counts.
    explicit SettingReader(std::string_view lines);

    // Null if the setting is absent.
    const std::string* find(const std::string& key) const;
    const std::string& text(const std::string& key) const;
    // A finite number in decimal form.
    double number(const std::string& key) const;
    // true, false, 1 or 0.
    bool flag(const std::string& key) const;
    // The parts between commas; none if the setting is absent.
    std::vector<std::string> list(const std::string& key) const;

private:
    std::map<std::string, std::string, std::less<>> values_;
};

}  // namespace sloestack::settings
