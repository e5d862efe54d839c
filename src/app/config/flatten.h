// Converts nested JSON settings to the path=value lines that settings::parse_settings reads. The simulator
// sends its settings in this form.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace sloestack::config {

// Returns one line per value. The path is the keys that lead to the value, joined by dots. An array of
// objects becomes PATH.count and PATH.INDEX.KEY; any other array becomes its values, separated by commas.
// Spaces, commas and newlines within a value become '_'.
std::string flatten(const nlohmann::json& settings);

}  // namespace sloestack::config
