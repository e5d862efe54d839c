#include "tds/request.h"

namespace sloestack::tds {
namespace {

constexpr std::uint16_t kProcedureByNumber = 0xffff, kExecuteSqlNumber = 10;
constexpr std::string_view kExecuteSqlName = "sp_executesql";
constexpr std::uint16_t kNotificationHeader = 1, kTransactionHeader = 2, kTraceHeader = 3;
constexpr std::uint32_t kTransactionHeaderBytes = 18;
constexpr std::size_t kMaxParameters = 2100;  // of one RPC request; the limit of SQL Server
constexpr std::uint8_t kByReferenceFlag = 1, kDefaultFlag = 2;

std::uint64_t read_all_headers(FieldReader& in) {
    const auto total = in.u32();
    if (total < 4) throw ProtocolError("ALL_HEADERS shorter than their length field");
    FieldReader headers(in.bytes(total - 4));
    std::uint64_t transaction = 0;
    bool has_transaction = false;
    while (!headers.empty()) {
        const auto size = headers.u32();
        if (size < 6) throw ProtocolError("a header shorter than its length and type");
        const auto type = headers.u16();
        FieldReader data(headers.bytes(size - 6));
        if (type == kTransactionHeader) {
            if (has_transaction || size != kTransactionHeaderBytes)
                throw ProtocolError("a second transaction descriptor header, or one of a wrong size");
            has_transaction = true;
            transaction = data.u64();
            if (data.u32() > 1)
                throw ProtocolError("a request with more than one request outstanding, which needs MARS");
        } else if (type != kNotificationHeader && type != kTraceHeader) {
            throw ProtocolError("a header of unsupported type " + std::to_string(type));
        }
    }
    if (!has_transaction) throw ProtocolError("a request without a transaction descriptor header");
    return transaction;
}

std::string build_all_headers() {
    std::string out;
    FieldWriter(out)
        .u32(4 + kTransactionHeaderBytes)
        .u32(kTransactionHeaderBytes)
        .u16(kTransactionHeader)
        .u64(0)
        .u32(1);
    return out;
}

Parameter read_parameter(FieldReader& in) {
    Parameter out;
    out.name = in.b_varchar();
    const auto flags = in.u8();
    if (flags & ~(kByReferenceFlag | kDefaultFlag))
        throw ProtocolError("a parameter with unsupported flags " + std::to_string(flags));
    out.by_reference = flags & kByReferenceFlag;
    out.type = read_type(in);
    out.value = out.type.max ? read_chunks(in, kMaxParameterBytes) : read_value(in, out.type);
    return out;
}

void put_parameter(std::string& out, const Parameter& parameter) {
    FieldWriter(out).b_varchar(parameter.name).u8(parameter.by_reference ? kByReferenceFlag : 0);
    put_type(out, parameter.type);
    parameter.type.max ? put_chunks(out, parameter.value) : put_value(out, parameter.type, parameter.value);
}

}  // namespace

Request read_batch(std::string_view payload) {
    FieldReader in(payload);
    Request out;
    out.transaction = read_all_headers(in);
    out.statement = from_utf16(in.rest());
    return out;
}

Request read_rpc(std::string_view payload) {
    FieldReader in(payload);
    Request out;
    out.transaction = read_all_headers(in);
    const auto length = in.u16();
    if (length == kProcedureByNumber) {
        if (const auto number = in.u16(); number != kExecuteSqlNumber)
            throw ProtocolError("an RPC request of a procedure other than sp_executesql: number " +
                                std::to_string(number));
    } else if (const auto name = from_utf16(in.bytes(std::size_t{length} * 2)); name != kExecuteSqlName) {
        throw ProtocolError("an RPC request of a procedure other than sp_executesql");
    }
    in.u16();  // the options to recompile and to omit metadata do not change the response
    while (!in.empty()) {
        const auto separator = static_cast<std::uint8_t>(in.rest()[0]);
        // 0xff and 0x80 separate two RPC requests of one message (MS-TDS 2.2.6.6).
        if (separator == 0xff || separator == 0x80)
            throw ProtocolError("several RPC requests in one message");
        if (out.parameters.size() > kMaxParameters)
            throw ProtocolError("an RPC request of more than 2100 parameters");
        out.parameters.push_back(read_parameter(in));
    }
    if (out.parameters.empty()) throw ProtocolError("an RPC request without a statement");
    const auto& first = out.parameters.front();
    if (first.type.id != TypeId::nvarchar || !first.value)
        throw ProtocolError("a statement that is NULL or not of type nvarchar");
    out.statement = from_utf16(*first.value);
    out.parameters.erase(out.parameters.begin());
    return out;
}

std::string build_batch(std::string_view statement) { return build_all_headers() + to_utf16(statement); }

std::string build_rpc(const Request& request) {
    auto out = build_all_headers();
    FieldWriter(out).u16(kProcedureByNumber).u16(kExecuteSqlNumber).u16(0);
    Parameter first;
    first.type.id = TypeId::nvarchar;
    first.value = to_utf16(request.statement);
    first.type.max = first.value->size() > 8000;
    first.type.size = first.type.max ? kMaxLength : 8000;
    put_parameter(out, first);
    for (const auto& parameter : request.parameters) put_parameter(out, parameter);
    return out;
}

}  // namespace sloestack::tds
