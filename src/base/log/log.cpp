#include "log/log.h"

#include <algorithm>
#include <cstdio>
#include <string>

namespace sloestack::log {
namespace {

bool is_control(unsigned char character) { return character < 0x20 || character == 0x7f; }

}  // namespace

void line(std::string_view event, std::string_view detail) {
    std::string text = "sloestack: ";
    text.append(event);
    if (!detail.empty()) text.append(": ").append(detail);
    std::replace_if(text.begin(), text.end(), is_control, '?');
    text.push_back('\n');
    std::fwrite(text.data(), 1, text.size(), stderr);
}

}  // namespace sloestack::log
