// Reads and writes the little-endian fields of TDS.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "tds/packet.h"
#include "tds/text.h"

namespace sloestack::tds {

// Thrown when a field ends after the bytes received so far; parsing is to be repeated once more have arrived.
struct IncompleteInput {};
// Reads fields in order. A field that runs past the end throws ProtocolError if the reader has a whole
// message, and IncompleteInput if `is_whole` is false: then it has the beginning of a longer one.
class FieldReader {
public:
    explicit FieldReader(std::string_view bytes, bool is_whole = true)
        : left_(bytes), size_(bytes.size()), is_whole_(is_whole) {}
    std::string_view bytes(std::size_t count) {
        if (count > left_.size()) {
            if (!is_whole_) throw IncompleteInput{};
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
    // Return UTF-8; the length before the text counts UTF-16 code units.
    std::string b_varchar() { return from_utf16(bytes(std::size_t{u8()} * 2)); }  // MS-TDS 2.2.5.1.2
    std::string us_varchar() { return from_utf16(bytes(std::size_t{u16()} * 2)); }
    bool empty() const { return left_.empty(); }
    std::size_t bytes_read() const { return size_ - left_.size(); }
    std::string_view rest() const { return left_; }

private:
    std::uint64_t number(int size) {
        const auto encoded = bytes(static_cast<std::size_t>(size));
        std::uint64_t out = 0;
        for (int at = 0; at < size; ++at)
            out |=
                static_cast<std::uint64_t>(static_cast<unsigned char>(encoded[static_cast<std::size_t>(at)]))
                << (8 * at);
        return out;
    }
    std::string_view left_;
    std::size_t size_;
    bool is_whole_;
};

// Appends fields to a string that must outlive the writer.
class FieldWriter {
public:
    explicit FieldWriter(std::string& out) : out_(out) {}
    FieldWriter& u8(std::uint64_t value) { return number(value, 1); }
    FieldWriter& u16(std::uint64_t value) { return number(value, 2); }
    FieldWriter& u32(std::uint64_t value) { return number(value, 4); }
    FieldWriter& u64(std::uint64_t value) { return number(value, 8); }
    FieldWriter& bytes(std::string_view value) {
        out_.append(value);
        return *this;
    }
    // Take UTF-8. The length counts UTF-16 code units; a text longer than the maximum is truncated after a
    // whole character.
    FieldWriter& b_varchar(std::string_view text) { return counted_text(text, 1, 255); }
    FieldWriter& us_varchar(std::string_view text, std::size_t max_units = 65535) {
        return counted_text(text, 2, max_units);
    }

private:
    FieldWriter& number(std::uint64_t value, int size) {
        for (int at = 0; at < size; ++at) out_.push_back(static_cast<char>(value >> (8 * at)));
        return *this;
    }
    FieldWriter& counted_text(std::string_view text, int size, std::size_t max_units) {
        auto units = to_utf16(text);
        if (units.size() / 2 > max_units) {
            units.resize(max_units * 2);
            // Do not end with the high surrogate of a pair.
            if ((static_cast<unsigned char>(units.back()) & 0xfc) == 0xd8) units.resize(units.size() - 2);
        }
        return number(units.size() / 2, size).bytes(units);
    }
    std::string& out_;
};

}  // namespace sloestack::tds
