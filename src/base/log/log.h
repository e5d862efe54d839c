// The program's log: one line an event on standard error. docs/ON-CALL.md explains every line.
#pragma once

#include <string_view>

namespace sloestack::log {

// Writes "sloestack: EVENT: DETAIL", without the last part where `detail` is empty. Control characters become
// '?', so that an entry stays one line whatever a peer sent.
void line(std::string_view event, std::string_view detail = {});

}  // namespace sloestack::log
