// The program's log: one line per event on standard error. docs/ON-CALL.md explains every line.
#pragma once

#include <string_view>

namespace sloestack::log {

// Writes "sloestack: EVENT: DETAIL [+SECONDS]", without ": DETAIL" if `detail` is empty. SECONDS is the time
// since the first line, by the monotonic clock. Control characters are replaced by '?', so that an entry that
// contains bytes of a peer is always one line.
void line(std::string_view event, std::string_view detail = {});
// Writes "sloestack: EVENT: JSON" without the time, so that programs can parse the rest of the line.
void json_line(std::string_view event, std::string_view json);

}  // namespace sloestack::log
