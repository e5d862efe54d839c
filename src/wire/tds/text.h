// Converts between UTF-8 and the little-endian UTF-16 of TDS with utfcpp. Lone surrogates and invalid UTF-8
// throw and are never replaced: a statement that differs from what the client sent must not run.
#pragma once

#include <string>
#include <string_view>

namespace sloestack::tds {

// Throws ProtocolError if the length of `bytes` is odd or they are not valid UTF-16.
std::string from_utf16(std::string_view bytes);
// Throws ProtocolError if `text` is not valid UTF-8.
std::string to_utf16(std::string_view text);

}  // namespace sloestack::tds
