#include "log/log.h"

#include <algorithm>
#include <cstdio>
#include <string>

namespace sloestack::log {

void line(std::string_view what, std::string_view detail) {
    std::string text = "sloestack: ";
    text.append(what);
    if (!detail.empty()) text.append(": ").append(detail);
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
    text.push_back('\n');
    std::fwrite(text.data(), 1, text.size(), stderr);
}

}  // namespace sloestack::log
