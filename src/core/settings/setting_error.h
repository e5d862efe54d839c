// The error for a setting that cannot be used.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace sloestack::settings {

// what() is "KEY: REASON".
class SettingError : public std::invalid_argument {
public:
    SettingError(std::string key, std::string reason)
        : std::invalid_argument(key + ": " + reason), key_(std::move(key)), reason_(std::move(reason)) {}

    const std::string& key() const { return key_; }
    const std::string& reason() const { return reason_; }

private:
    std::string key_;
    std::string reason_;
};

}  // namespace sloestack::settings
