// The program's log: one line per event on standard error. docs/ON-CALL.md explains every line.
#pragma once

#include <string_view>

namespace sloestack::log {

// Writes "sloestack: EVENT: DETAIL", without ": DETAIL" if `detail` is empty. Control characters are replaced
// by '?', so that an entry that contains bytes of a peer is always one line.
void line(std::string_view event, std::string_view detail = {});

}  // namespace sloestack::log
