// UTF-16, as TDS has it (little-endian), to and from UTF-8, by utfcpp. Lone surrogates and bytes that are no
// UTF-8 are refused, never replaced: a statement that is not what its client sent must not run.
#pragma once

#include <string>
#include <string_view>

namespace sloestack::tds {

// Throws ProtocolError where `bytes` is of odd length or no UTF-16.
std::string from_utf16(std::string_view bytes);
// Throws ProtocolError where `text` is no UTF-8.
std::string to_utf16(std::string_view text);

}  // namespace sloestack::tds
