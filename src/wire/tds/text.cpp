#include "tds/text.h"

#include <utf8.h>

#include <iterator>

#include "tds/packet.h"

namespace sloestack::tds {

std::string from_utf16(std::string_view bytes) {
    if (bytes.size() % 2) throw ProtocolError("a text of half a character");
    std::u16string units(bytes.size() / 2, u'\0');
    for (std::size_t i = 0; i < units.size(); ++i)
        units[i] = static_cast<char16_t>(static_cast<unsigned char>(bytes[2 * i]) |
                                         static_cast<unsigned char>(bytes[2 * i + 1]) << 8);
    try {
        std::string out;
        out.reserve(units.size());
        utf8::utf16to8(units.begin(), units.end(), std::back_inserter(out));
        return out;
    } catch (const utf8::exception&) {
        throw ProtocolError("a text with a lone surrogate");
    }
}

std::string to_utf16(std::string_view text) {
    std::u16string units;
    units.reserve(text.size());
    try {
        utf8::utf8to16(text.begin(), text.end(), std::back_inserter(units));
    } catch (const utf8::exception&) {
        throw ProtocolError("a text that is no UTF-8");
    }
    std::string out;
    out.reserve(units.size() * 2);
    for (const auto unit : units) {
        out.push_back(static_cast<char>(unit));
        out.push_back(static_cast<char>(unit >> 8));
    }
    return out;
}

}  // namespace sloestack::tds
