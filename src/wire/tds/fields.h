// Reads and writes the little-endian fields of TDS.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "tds/packet.h"
#include "tds/text.h"

namespace sloestack::tds {

// Over bytes that are all there: reading past their end throws ProtocolError. Over the beginning of something
// longer it throws IncompleteInput instead, which says to come again with more.
struct IncompleteInput {};
class FieldReader {
public:
    explicit FieldReader(std::string_view bytes, bool whole = true)
        : left_(bytes), size_(bytes.size()), whole_(whole) {}
    std::string_view bytes(std::size_t count) {
        if (count > left_.size()) {
            if (!whole_) throw IncompleteInput{};
            throw ProtocolError("a field that runs past the end of its message");
        }
        const auto out = left_.substr(0, count);
        left_.remove_prefix(count);
        return out;
    }
    std::uint8_t u8() { return static_cast<std::uint8_t>(bytes(1)[0]); }
    std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
    std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
    std::uint64_t u64() { return number(8); }
    std::string b_varchar() { return from_utf16(bytes(std::size_t{u8()} * 2)); }  // MS-TDS 2.2.5.1.2
    std::string us_varchar() { return from_utf16(bytes(std::size_t{u16()} * 2)); }
    bool empty() const { return left_.empty(); }
    std::size_t taken() const { return size_ - left_.size(); }
    std::string_view rest() const { return left_; }

private:
    std::uint64_t number(int size) {
        const auto b = bytes(static_cast<std::size_t>(size));
        std::uint64_t out = 0;
        for (int i = 0; i < size; ++i)
            out |= static_cast<std::uint64_t>(static_cast<unsigned char>(b[static_cast<std::size_t>(i)]))
                   << (8 * i);
        return out;
    }
    std::string_view left_;
    std::size_t size_;
    bool whole_;
};

class FieldWriter {
public:
    explicit FieldWriter(std::string& out) : out_(out) {}
    FieldWriter& u8(std::uint64_t v) { return number(v, 1); }
    FieldWriter& u16(std::uint64_t v) { return number(v, 2); }
    FieldWriter& u32(std::uint64_t v) { return number(v, 4); }
    FieldWriter& u64(std::uint64_t v) { return number(v, 8); }
    FieldWriter& bytes(std::string_view b) {
        out_.append(b);
        return *this;
    }
    // The length counts characters of two bytes; a text too long for its length is cut at a whole character.
    FieldWriter& b_varchar(std::string_view text) { return counted(text, 1, 255); }
    FieldWriter& us_varchar(std::string_view text, std::size_t most = 65535) {
        return counted(text, 2, most);
    }

private:
    FieldWriter& number(std::uint64_t v, int size) {
        for (int i = 0; i < size; ++i) out_.push_back(static_cast<char>(v >> (8 * i)));
        return *this;
    }
    FieldWriter& counted(std::string_view text, int size, std::size_t most) {
        auto units = to_utf16(text);
        if (units.size() / 2 > most) {
            units.resize(most * 2);
            // Never the first half of a pair alone.
            if ((static_cast<unsigned char>(units.back()) & 0xfc) == 0xd8) units.resize(units.size() - 2);
        }
        return number(units.size() / 2, size).bytes(units);
    }
    std::string& out_;
};

}  // namespace sloestack::tds
