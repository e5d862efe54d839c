#include "tds/value.h"

#include <algorithm>

namespace sloestack::tds {
namespace {

constexpr std::uint32_t kLongest = 8000;  // of a type that is not (max)

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

// Bytes of a time of day by its scale (MS-TDS 2.2.5.4.2).
std::uint32_t time_size(std::uint8_t scale) { return scale <= 2 ? 3 : scale <= 4 ? 4 : 5; }

[[noreturn]] void refuse(const char* what, unsigned number) {
    throw ProtocolError(std::string(what) + " " + std::to_string(number));
}

// Whether a value of that many bytes can be one of the type; 0 stands for NULL where a byte holds the length.
bool may_be(const ColumnType& t, std::size_t size) {
    switch (t.id) {
        case TypeId::intn:
            return size <= t.size && (size == 1 || size == 2 || size == 4 || size == 8);
        case TypeId::floatn:
        case TypeId::datetimen:
            return size <= t.size && (size == 4 || size == 8);
        case TypeId::bitn:
            return size == 1;
        case TypeId::decimaln:
        case TypeId::numericn:
            return size <= t.size && (size == 5 || size == 9 || size == 13 || size == 17);
        case TypeId::daten:
        case TypeId::timen:
        case TypeId::datetime2n:
        case TypeId::datetimeoffsetn:
            return size == t.size;
        default:
            return size <= t.size;
    }
}

bool has_short_length(TypeId id) { return static_cast<std::uint8_t>(id) >= 0xa5; }

}  // namespace

bool ColumnType::is_text() const {
    return id == TypeId::varchar || id == TypeId::character || id == TypeId::nvarchar || id == TypeId::nchar;
}
bool ColumnType::fixed() const { return fixed_size(id) > 0; }

ColumnType read_type(FieldReader& in) {
    ColumnType t;
    const auto number = in.u8();
    t.id = static_cast<TypeId>(number);
    if (const auto size = fixed_size(t.id)) {
        t.size = size;
        return t;
    }
    const auto one_of = [&](std::initializer_list<std::uint32_t> sizes) {
        if (std::find(sizes.begin(), sizes.end(), t.size) == sizes.end())
            refuse("a type of a size it cannot have:", t.size);
    };
    const auto scale = [&] {
        t.scale = in.u8();
        if (t.scale > 7) refuse("a time of a scale it cannot have:", t.scale);
    };
    switch (t.id) {
        case TypeId::intn:
            t.size = in.u8();
            one_of({1, 2, 4, 8});
            return t;
        case TypeId::bitn:
            t.size = in.u8();
            one_of({1});
            return t;
        case TypeId::floatn:
        case TypeId::datetimen:
            t.size = in.u8();
            one_of({4, 8});
            return t;
        case TypeId::decimaln:
        case TypeId::numericn:
            t.size = in.u8();
            one_of({5, 9, 13, 17});
            t.precision = in.u8();
            t.scale = in.u8();
            if (t.precision < 1 || t.precision > 38 || t.scale > t.precision)
                refuse("a decimal of a precision it cannot have:", t.precision);
            return t;
        case TypeId::daten:
            t.size = 3;
            return t;
        case TypeId::timen:
            scale();
            t.size = time_size(t.scale);
            return t;
        case TypeId::datetime2n:
            scale();
            t.size = time_size(t.scale) + 3;
            return t;
        case TypeId::datetimeoffsetn:
            scale();
            t.size = time_size(t.scale) + 5;
            return t;
        case TypeId::varbinary:
        case TypeId::varchar:
        case TypeId::nvarchar:
        case TypeId::binary:
        case TypeId::character:
        case TypeId::nchar: {
            t.size = in.u16();
            t.max = t.size == kMaxLength;
            if (t.max && (t.id == TypeId::binary || t.id == TypeId::character || t.id == TypeId::nchar))
                refuse("a type of a size it cannot have:", t.size);
            if (!t.max && t.size > kLongest) refuse("a type of a size it cannot have:", t.size);
            if (t.is_text()) {
                const auto bytes = in.bytes(t.collation.size());
                std::copy(bytes.begin(), bytes.end(), t.collation.begin());
            }
            return t;
        }
        default:
            refuse("a type that is not known here:", number);
    }
}

void put_type(std::string& out, const ColumnType& t) {
    FieldWriter put(out);
    put.u8(static_cast<std::uint8_t>(t.id));
    if (t.fixed() || t.id == TypeId::daten) return;
    switch (t.id) {
        case TypeId::timen:
        case TypeId::datetime2n:
        case TypeId::datetimeoffsetn:
            put.u8(t.scale);
            return;
        case TypeId::decimaln:
        case TypeId::numericn:
            put.u8(t.size).u8(t.precision).u8(t.scale);
            return;
        default:
            break;
    }
    if (!has_short_length(t.id)) return void(put.u8(t.size));
    put.u16(t.max ? kMaxLength : t.size);
    if (t.is_text()) out.append(t.collation.begin(), t.collation.end());
}

std::optional<std::string> read_value(FieldReader& in, const ColumnType& t) {
    if (t.fixed()) return std::string(in.bytes(t.size));
    std::size_t size = 0;
    if (has_short_length(t.id)) {
        size = in.u16();
        if (size == kNullLength) return std::nullopt;
    } else {
        size = in.u8();
        if (size == 0) return std::nullopt;
    }
    if (!may_be(t, size))
        refuse("a value of a length that its type cannot have:", static_cast<unsigned>(size));
    if ((t.id == TypeId::nvarchar || t.id == TypeId::nchar) && size % 2)
        throw ProtocolError("a text of half a character");
    return std::string(in.bytes(size));
}

void put_value(std::string& out, const ColumnType& t, std::optional<std::string_view> value) {
    FieldWriter put(out);
    if (!t.fixed()) {
        if (has_short_length(t.id))
            put.u16(value ? value->size() : kNullLength);
        else
            put.u8(value ? value->size() : 0);
    }
    if (value) put.bytes(*value);
}

std::optional<std::string> read_chunks(FieldReader& in, std::size_t most) {
    const auto total = in.u64();
    if (total == kNullChunks) return std::nullopt;
    if (total != kUnknownLength && total > most)
        throw ProtocolError("a value of " + std::to_string(total) + " bytes");
    std::string out;
    for (auto size = in.u32(); size != 0; size = in.u32()) {
        if (size > most - out.size()) throw ProtocolError("a value longer than it may be");
        out.append(in.bytes(size));
    }
    if (total != kUnknownLength && total != out.size())
        throw ProtocolError("a value that is not as long as it says");
    return out;
}

void put_chunks(std::string& out, std::optional<std::string_view> value) {
    FieldWriter put(out);
    if (!value) return void(put.u64(kNullChunks));
    put.u64(value->size());
    if (!value->empty()) put.u32(value->size()).bytes(*value);
    put.u32(0);
}

}  // namespace sloestack::tds
