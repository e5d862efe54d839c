// Types of columns and parameters, and values of them. Source: MS-TDS 2.2.5.4 to 2.2.5.6.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tds/fields.h"

namespace sloestack::tds {

// The types that are read here; any other is refused by its number, since its length cannot be guessed at.
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
    std::uint32_t size = 0;  // most bytes of a value; of a fixed type exactly
    bool max = false;        // varchar(max) and its like: values come in chunks
    std::uint8_t precision = 0, scale = 0;
    std::array<std::uint8_t, 5> collation{};  // of texts

    bool is_text() const;
    bool fixed() const;  // a value has no length before it
};
// Throws ProtocolError naming the number of a type that is not read here, and where size, precision or scale
// are none that the type can have.
ColumnType read_type(FieldReader& in);
void put_type(std::string& out, const ColumnType& type);

// A value that is not in chunks; nothing for NULL. Throws ProtocolError where its length is none that its
// type can have.
std::optional<std::string> read_value(FieldReader& in, const ColumnType& type);
void put_value(std::string& out, const ColumnType& type, std::optional<std::string_view> value);
// One in chunks, whole; at most `most` bytes.
std::optional<std::string> read_chunks(FieldReader& in, std::size_t most);
void put_chunks(std::string& out, std::optional<std::string_view> value);

constexpr std::uint64_t kNullChunks = ~std::uint64_t{0}, kUnknownLength = ~std::uint64_t{0} - 1;
constexpr std::uint16_t kNullLength = 0xffff, kMaxLength = 0xffff;
constexpr std::size_t kMaxParameterBytes =
    8 * 1024 * 1024 + 64 * 1024;  // of a statement: as on the PostgreSQL side

}  // namespace sloestack::tds
