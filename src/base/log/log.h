// The program's log: one line a fact on standard error. docs/ON-CALL.md explains every line.
#pragma once

#include <string_view>

namespace sloestack::log {

// Control characters become '?': a line of log stays one line whatever a peer sent.
void line(std::string_view what, std::string_view detail = {});

}  // namespace sloestack::log
