// Reads the fields of ErrorResponse and NoticeResponse: a type byte and a zero-terminated text each; a zero
// byte ends the list. Source: PostgreSQL documentation, chapter "Error and Notice Message Fields".
#pragma once

#include <optional>
#include <string_view>

#include "pgwire/frame.h"

namespace sloestack::pgwire {

constexpr char kSqlstateField = 'C';

// Returns the text of the first field of `type`, or `std::nullopt` if `body` has no such field. The text
// points into `body`. Throws ProtocolError if `body` ends inside one of the fields before it.
std::optional<std::string_view> find_error_field(std::string_view body, char type);

}  // namespace sloestack::pgwire
