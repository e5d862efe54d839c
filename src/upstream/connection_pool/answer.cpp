#include "connection_pool/answer.h"

#include <charconv>
#include <cmath>

namespace sloestack::upstream {

using decision::ReplicationStatus;
using decision::Role;

std::optional<double> number(std::string_view text) {
    double out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(out)) return std::nullopt;
    return out;
}

// Positions are Unix times; none lies beyond the year 5000, and 0 says that there is none.
std::optional<decision::Time> position(double value, double unit_us) {
    if (value <= 0 || value * unit_us > 1e17) return std::nullopt;
    return static_cast<decision::Time>(std::llround(value * unit_us));
}

ReplicationStatus read_load(std::string_view text) {
    ReplicationStatus out;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto pair = text.substr(0, comma);
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
        const auto equals = pair.find('=');
        // One pair that cannot be read spoils the report: guards against believing what is left of it.
        if (equals == std::string_view::npos) return {};
        const auto name = pair.substr(0, equals);
        const auto value = number(pair.substr(equals + 1));
        if (!value || *value < 0) return {};
        if (name == "x0") out.position = position(*value, 1e6);
        if (name != "x1") continue;
        if (*value != 0 && *value != 1) return {};
        out.role = *value == 1 ? Role::primary : Role::replica;
    }
    return out;
}

}  // namespace sloestack::upstream
