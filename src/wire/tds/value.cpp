#include "tds/value.h"

#include <algorithm>

namespace sloestack::tds {
namespace {

constexpr std::uint32_t kMaxTypeSizeBytes = 8000;  // of a type that is not (max)

std::uint32_t fixed_size(TypeId id) {
    switch (id) {
        case TypeId::int1:
        case TypeId::bit:
            return 1;
        case TypeId::int2:
            return 2;
        case TypeId::int4:
        case TypeId::datetime4:
        case TypeId::float4:
            return 4;
        case TypeId::datetime:
        case TypeId::float8:
        case TypeId::int8:
            return 8;
        default:
            return 0;
    }
}

// Returns the size in bytes of a time of day by its scale (MS-TDS 2.2.5.4.2).
std::uint32_t time_size(std::uint8_t scale) { return scale <= 2 ? 3 : scale <= 4 ? 4 : 5; }

[[noreturn]] void throw_protocol_error(const char* what, unsigned number) {
    throw ProtocolError(std::string(what) + " " + std::to_string(number));
}

// Returns true if a value that is not NULL may have `size` bytes.
bool is_valid_size(const ColumnType& type, std::size_t size) {
    switch (type.id) {
        case TypeId::intn:
            return size <= type.size && (size == 1 || size == 2 || size == 4 || size == 8);
        case TypeId::floatn:
        case TypeId::datetimen:
            return size <= type.size && (size == 4 || size == 8);
        case TypeId::bitn:
            return size == 1;
        case TypeId::decimaln:
        case TypeId::numericn:
            return size <= type.size && (size == 5 || size == 9 || size == 13 || size == 17);
        case TypeId::daten:
        case TypeId::timen:
        case TypeId::datetime2n:
        case TypeId::datetimeoffsetn:
            return size == type.size;
        default:
            return size <= type.size;
    }
}

bool has_16_bit_length(TypeId id) { return static_cast<std::uint8_t>(id) >= 0xa5; }

}  // namespace

bool ColumnType::is_text() const {
    return id == TypeId::varchar || id == TypeId::character || id == TypeId::nvarchar || id == TypeId::nchar;
}
bool ColumnType::fixed() const { return fixed_size(id) > 0; }

ColumnType read_type(FieldReader& in) {
    ColumnType type;
    const auto number = in.u8();
    type.id = static_cast<TypeId>(number);
    if (const auto size = fixed_size(type.id)) {
        type.size = size;
        return type;
    }
    const auto require_size_in = [&](std::initializer_list<std::uint32_t> sizes) {
        if (std::find(sizes.begin(), sizes.end(), type.size) == sizes.end())
            throw_protocol_error("a size that is not valid for its type:", type.size);
    };
    const auto read_scale = [&] {
        type.scale = in.u8();
        if (type.scale > 7) throw_protocol_error("a time whose scale is above 7:", type.scale);
    };
    switch (type.id) {
        case TypeId::intn:
            type.size = in.u8();
            require_size_in({1, 2, 4, 8});
            return type;
        case TypeId::bitn:
            type.size = in.u8();
            require_size_in({1});
            return type;
        case TypeId::floatn:
        case TypeId::datetimen:
            type.size = in.u8();
            require_size_in({4, 8});
            return type;
        case TypeId::decimaln:
        case TypeId::numericn:
            type.size = in.u8();
            require_size_in({5, 9, 13, 17});
            type.precision = in.u8();
            type.scale = in.u8();
            if (type.precision < 1 || type.precision > 38 || type.scale > type.precision)
                throw_protocol_error("a decimal with a precision outside 1 to 38 or a scale above it:",
                                     type.precision);
            return type;
        case TypeId::daten:
            type.size = 3;
            return type;
        case TypeId::timen:
            read_scale();
            type.size = time_size(type.scale);
            return type;
        case TypeId::datetime2n:
            read_scale();
            type.size = time_size(type.scale) + 3;
            return type;
        case TypeId::datetimeoffsetn:
            read_scale();
            type.size = time_size(type.scale) + 5;
            return type;
        case TypeId::varbinary:
        case TypeId::varchar:
        case TypeId::nvarchar:
        case TypeId::binary:
        case TypeId::character:
        case TypeId::nchar: {
            type.size = in.u16();
            type.max = type.size == kMaxLength;
            if (type.max &&
                (type.id == TypeId::binary || type.id == TypeId::character || type.id == TypeId::nchar))
                throw_protocol_error("a size that is not valid for its type:", type.size);
            if (!type.max && type.size > kMaxTypeSizeBytes)
                throw_protocol_error("a size that is not valid for its type:", type.size);
            if (type.is_text()) {
                const auto bytes = in.bytes(type.collation.size());
                std::copy(bytes.begin(), bytes.end(), type.collation.begin());
            }
            return type;
        }
        default:
            throw_protocol_error("unsupported type", number);
    }
}

void put_type(std::string& out, const ColumnType& type) {
    FieldWriter fields(out);
    fields.u8(static_cast<std::uint8_t>(type.id));
    if (type.fixed() || type.id == TypeId::daten) return;
    switch (type.id) {
        case TypeId::timen:
        case TypeId::datetime2n:
        case TypeId::datetimeoffsetn:
            fields.u8(type.scale);
            return;
        case TypeId::decimaln:
        case TypeId::numericn:
            fields.u8(type.size).u8(type.precision).u8(type.scale);
            return;
        default:
            break;
    }
    if (!has_16_bit_length(type.id)) return void(fields.u8(type.size));
    fields.u16(type.max ? kMaxLength : type.size);
    if (type.is_text()) out.append(type.collation.begin(), type.collation.end());
}

std::optional<std::string> read_value(FieldReader& in, const ColumnType& type) {
    if (type.fixed()) return std::string(in.bytes(type.size));
    std::size_t size = 0;
    if (has_16_bit_length(type.id)) {
        size = in.u16();
        if (size == kNullLength) return std::nullopt;
    } else {
        size = in.u8();
        if (size == 0) return std::nullopt;
    }
    if (!is_valid_size(type, size))
        throw_protocol_error("a value whose length is not valid for its type:", static_cast<unsigned>(size));
    if ((type.id == TypeId::nvarchar || type.id == TypeId::nchar) && size % 2)
        throw ProtocolError("a UTF-16 text with an odd number of bytes");
    return std::string(in.bytes(size));
}

void put_value(std::string& out, const ColumnType& type, std::optional<std::string_view> value) {
    FieldWriter fields(out);
    if (!type.fixed()) {
        if (has_16_bit_length(type.id))
            fields.u16(value ? value->size() : kNullLength);
        else
            fields.u8(value ? value->size() : 0);
    }
    if (value) fields.bytes(*value);
}

std::optional<std::string> read_chunks(FieldReader& in, std::size_t max_size) {
    const auto total = in.u64();
    if (total == kNullChunks) return std::nullopt;
    if (total != kUnknownLength && total > max_size)
        throw ProtocolError("a value of " + std::to_string(total) + " bytes, above the limit");
    std::string out;
    for (auto size = in.u32(); size != 0; size = in.u32()) {
        if (size > max_size - out.size())
            throw ProtocolError("a value in chunks above the limit of its size");
        out.append(in.bytes(size));
    }
    if (total != kUnknownLength && total != out.size())
        throw ProtocolError("a value whose chunks do not add up to its total length");
    return out;
}

void put_chunks(std::string& out, std::optional<std::string_view> value) {
    FieldWriter fields(out);
    if (!value) return void(fields.u64(kNullChunks));
    fields.u64(value->size());
    if (!value->empty()) fields.u32(value->size()).bytes(*value);
    fields.u32(0);
}

}  // namespace sloestack::tds
