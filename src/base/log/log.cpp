#include "log/log.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <string>

namespace sloestack::log {
namespace {

bool is_control(unsigned char character) { return character < 0x20 || character == 0x7f; }

std::string uptime_suffix() {
    using Clock = std::chrono::steady_clock;
    static const auto started_at = Clock::now();
    const std::chrono::duration<double> uptime = Clock::now() - started_at;
    std::array<char, 32> text;
    std::snprintf(text.data(), text.size(), " [+%.3f]", uptime.count());
    return text.data();
}

void write(std::string_view event, std::string_view detail, std::string_view suffix) {
    std::string text = "sloestack: ";
    text.append(event);
    if (!detail.empty()) text.append(": ").append(detail);
    text.append(suffix);
    std::replace_if(text.begin(), text.end(), is_control, '?');
    text.push_back('\n');
    std::fwrite(text.data(), 1, text.size(), stderr);
}

}  // namespace

void line(std::string_view event, std::string_view detail) { write(event, detail, uptime_suffix()); }

void json_line(std::string_view event, std::string_view json) { write(event, json, {}); }

}  // namespace sloestack::log
