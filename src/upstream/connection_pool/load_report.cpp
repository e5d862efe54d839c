#include "connection_pool/load_report.h"

#include <charconv>
#include <cmath>

namespace sloestack::upstream {
namespace {

using decision::ReplicationStatus;
using decision::Role;

constexpr double kMaxPositionUs = 1e17;  // the year 5138
constexpr double kMicrosPerSecond = 1e6;
constexpr std::string_view kPositionName = "x0";
constexpr std::string_view kRoleName = "x1";

// Returns false if the pair cannot be parsed.
bool parse_pair(std::string_view pair, ReplicationStatus& status) {
    const auto equals = pair.find('=');
    if (equals == std::string_view::npos) return false;
    const auto name = pair.substr(0, equals);
    const auto value = parse_number(pair.substr(equals + 1));
    if (!value || *value < 0) return false;
    if (name == kPositionName) status.position = parse_position(*value, kMicrosPerSecond);
    if (name != kRoleName) return true;
    if (*value != 0 && *value != 1) return false;
    status.role = *value == 1 ? Role::primary : Role::replica;
    return true;
}

}  // namespace

std::optional<double> parse_number(std::string_view text) {
    double number = 0;
    const char* const text_end = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), text_end, number);
    if (error != std::errc() || end != text_end || !std::isfinite(number)) return std::nullopt;
    return number;
}

std::optional<decision::Time> parse_position(double value, double unit_us) {
    if (value <= 0 || value * unit_us > kMaxPositionUs) return std::nullopt;
    return static_cast<decision::Time>(std::llround(value * unit_us));
}

ReplicationStatus parse_load_report(std::string_view text) {
    ReplicationStatus status;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto pair = text.substr(0, comma);
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
        if (!parse_pair(pair, status)) return {};
    }
    return status;
}

}  // namespace sloestack::upstream
