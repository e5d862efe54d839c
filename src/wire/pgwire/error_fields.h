// The fields of PostgreSQL's ErrorResponse and NoticeResponse: a type byte and a text each, ended by a zero
// byte.
#pragma once

#include <optional>
#include <string_view>

#include "pgwire/frame.h"

namespace sloestack::pgwire {

constexpr char kSqlstateField = 'C';

// The text of the first field of a type, within `body`; nothing where there is none. Throws ProtocolError
// where the body ends amid a field before it.
std::optional<std::string_view> find_error_field(std::string_view body, char type);

}  // namespace sloestack::pgwire
