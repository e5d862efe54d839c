#include "tds/request.h"

namespace sloestack::tds {
namespace {

constexpr std::uint16_t kByNumber = 0xffff, kExecuteSql = 10;
constexpr std::string_view kExecuteSqlName = "sp_executesql";
constexpr std::uint16_t kNotification = 1, kTransaction = 2, kTrace = 3;
constexpr std::uint32_t kTransactionHeader = 18;
constexpr std::size_t kMostParameters = 2100;  // of one call, as servers have it
constexpr std::uint8_t kByReference = 1, kDefault = 2;

std::uint64_t read_headers(FieldReader& in) {
    const auto total = in.u32();
    if (total < 4) throw ProtocolError("headers shorter than their length");
    FieldReader headers(in.bytes(total - 4));
    std::uint64_t transaction = 0;
    bool seen = false;
    while (!headers.empty()) {
        const auto size = headers.u32();
        if (size < 6) throw ProtocolError("a header shorter than its length");
        const auto type = headers.u16();
        FieldReader data(headers.bytes(size - 6));
        if (type == kTransaction) {
            if (seen || size != kTransactionHeader) throw ProtocolError("a malformed transaction header");
            seen = true;
            transaction = data.u64();
            if (data.u32() > 1) throw ProtocolError("several requests at once on one connection");
        } else if (type != kNotification && type != kTrace) {
            throw ProtocolError("a header of type " + std::to_string(type));
        }
    }
    if (!seen) throw ProtocolError("a request without its transaction header");
    return transaction;
}

std::string headers() {
    std::string out;
    FieldWriter(out).u32(4 + kTransactionHeader).u32(kTransactionHeader).u16(kTransaction).u64(0).u32(1);
    return out;
}

Parameter read_parameter(FieldReader& in) {
    Parameter out;
    out.name = in.b_varchar();
    const auto flags = in.u8();
    if (flags & ~(kByReference | kDefault))
        throw ProtocolError("a parameter with flags " + std::to_string(flags));
    out.by_reference = flags & kByReference;
    out.type = read_type(in);
    out.value = out.type.max ? read_chunks(in, kMaxParameterBytes) : read_value(in, out.type);
    return out;
}

void put_parameter(std::string& out, const Parameter& p) {
    FieldWriter(out).b_varchar(p.name).u8(p.by_reference ? kByReference : 0);
    put_type(out, p.type);
    p.type.max ? put_chunks(out, p.value) : put_value(out, p.type, p.value);
}

}  // namespace

Request read_batch(std::string_view payload) {
    FieldReader in(payload);
    Request out;
    out.transaction = read_headers(in);
    out.statement = from_utf16(in.rest());
    return out;
}

Request read_rpc(std::string_view payload) {
    FieldReader in(payload);
    Request out;
    out.transaction = read_headers(in);
    const auto length = in.u16();
    if (length == kByNumber) {
        if (const auto number = in.u16(); number != kExecuteSql)
            throw ProtocolError("a call of procedure number " + std::to_string(number));
    } else if (const auto name = from_utf16(in.bytes(std::size_t{length} * 2)); name != kExecuteSqlName) {
        throw ProtocolError("a call of a procedure other than sp_executesql");
    }
    in.u16();  // to recompile, or to leave out the metadata: neither changes what is answered here
    while (!in.empty()) {
        const auto mark = static_cast<std::uint8_t>(in.rest()[0]);
        // 0xff ends a call where another follows in one message (MS-TDS 2.2.6.6).
        if (mark == 0xff || mark == 0x80) throw ProtocolError("several calls in one message");
        if (out.parameters.size() > kMostParameters) throw ProtocolError("a call with too many parameters");
        out.parameters.push_back(read_parameter(in));
    }
    if (out.parameters.empty()) throw ProtocolError("a call without a statement");
    const auto& first = out.parameters.front();
    if (first.type.id != TypeId::nvarchar || !first.value)
        throw ProtocolError("a statement that is no nvarchar");
    out.statement = from_utf16(*first.value);
    out.parameters.erase(out.parameters.begin());
    return out;
}

std::string build_batch(std::string_view statement) { return headers() + to_utf16(statement); }

std::string build_rpc(const Request& request) {
    auto out = headers();
    FieldWriter(out).u16(kByNumber).u16(kExecuteSql).u16(0);
    Parameter first;
    first.type.id = TypeId::nvarchar;
    first.value = to_utf16(request.statement);
    first.type.max = first.value->size() > 8000;
    first.type.size = first.type.max ? kMaxLength : 8000;
    put_parameter(out, first);
    for (const auto& p : request.parameters) put_parameter(out, p);
    return out;
}

}  // namespace sloestack::tds
