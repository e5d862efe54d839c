// Types of columns and parameters, and their values. Source: MS-TDS 2.2.5.4 to 2.2.5.6.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tds/fields.h"

namespace sloestack::tds {

// The supported types. Any other type is an error, since the length of its values is not known.
enum class TypeId : std::uint8_t {
    int1 = 0x30,
    bit = 0x32,
    int2 = 0x34,
    int4 = 0x38,
    datetime4 = 0x3a,
    float4 = 0x3b,
    datetime = 0x3d,
    float8 = 0x3e,
    int8 = 0x7f,
    intn = 0x26,
    bitn = 0x68,
    decimaln = 0x6a,
    numericn = 0x6c,
    floatn = 0x6d,
    datetimen = 0x6f,
    daten = 0x28,
    timen = 0x29,
    datetime2n = 0x2a,
    datetimeoffsetn = 0x2b,
    varbinary = 0xa5,
    varchar = 0xa7,
    binary = 0xad,
    character = 0xaf,
    nvarchar = 0xe7,
    nchar = 0xef
};

struct ColumnType {
    TypeId id = TypeId::int4;
    std::uint32_t size = 0;  // of a value, in bytes: the maximum, or exactly this for a fixed-length type
    bool max = false;        // (max), as in varchar(max): values are sent in chunks
    std::uint8_t precision = 0, scale = 0;
    std::array<std::uint8_t, 5> collation{};  // of a character type

    bool is_text() const;
    // Returns true if the type has a fixed length, so that no length precedes a value.
    bool fixed() const;
};
// Parses a TYPE_INFO. Throws ProtocolError, which names the number of a type that is not supported, and if
// size, precision or scale are not valid for the type.
ColumnType read_type(FieldReader& in);
void put_type(std::string& out, const ColumnType& type);

// Reads a value that is not sent in chunks; std::nullopt is NULL. Throws ProtocolError if its length is not
// valid for its type.
std::optional<std::string> read_value(FieldReader& in, const ColumnType& type);
void put_value(std::string& out, const ColumnType& type, std::optional<std::string_view> value);
// Reads all chunks of a value (MS-TDS: partially length-prefixed, PLP). Throws ProtocolError if it has more
// than `max_size` bytes or not as many as its total length states.
std::optional<std::string> read_chunks(FieldReader& in, std::size_t max_size);
void put_chunks(std::string& out, std::optional<std::string_view> value);

// Values of a chunked value's total length that stand for NULL and for a length that is not known.
constexpr std::uint64_t kNullChunks = ~std::uint64_t{0}, kUnknownLength = ~std::uint64_t{0} - 1;
// Values of a 16-bit length: a value's that stands for NULL, and a type's that stands for (max).
constexpr std::uint16_t kNullLength = 0xffff, kMaxLength = 0xffff;
// A parameter may hold a statement of up to 8 MiB, as with PostgreSQL.
constexpr std::size_t kMaxParameterBytes = 8 * 1024 * 1024 + 64 * 1024;

}  // namespace sloestack::tds
