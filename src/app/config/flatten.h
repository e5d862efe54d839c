// Nested JSON settings as the path=value lines that settings::parse_settings reads, the form in which the
// simulator gives them.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace sloestack::config {

// Names on the way to a value are joined by dots. An array of objects becomes PATH.count and PATH.INDEX.NAME,
// any other array its values with commas between. Blanks, commas and line ends within a value become '_'.
std::string flatten(const nlohmann::json& settings);

}  // namespace sloestack::config
