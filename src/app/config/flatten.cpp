#include "config/flatten.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sloestack::config {
namespace {

using nlohmann::json;

bool is_separator(char character) { return character == ' ' || character == ',' || character == '\n'; }

std::string scalar_text(const json& value) {
    if (value.is_null()) return {};
    auto text = value.is_string() ? value.get<std::string>() : value.dump();
    std::replace_if(text.begin(), text.end(), is_separator, '_');
    return text;
}

std::string join(const std::string& path, const std::string& name) {
    return path.empty() ? name : path + "." + name;
}

std::string scalar_list(const json& array) {
    std::string out;
    for (std::size_t i = 0; i < array.size(); ++i) {
        if (i > 0) out += ",";
        out += scalar_text(array[i]);
    }
    return out;
}

void append_lines(const json& value, const std::string& path, std::string& out) {
    if (value.is_object()) {
        for (const auto& [name, inner] : value.items()) append_lines(inner, join(path, name), out);
    } else if (value.is_array() && !value.empty() && value.front().is_object()) {
        out += join(path, "count") + "=" + std::to_string(value.size()) + "\n";
        for (std::size_t i = 0; i < value.size(); ++i)
            append_lines(value[i], join(path, std::to_string(i)), out);
    } else {
        out += path + "=" + (value.is_array() ? scalar_list(value) : scalar_text(value)) + "\n";
    }
}

}  // namespace

std::string flatten(const json& settings) {
    std::string out;
    append_lines(settings, "", out);
    return out;
}

}  // namespace sloestack::config
