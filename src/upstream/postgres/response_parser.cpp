#include "postgres/response_parser.h"

#include "connection_pool/load_report.h"
#include "pgwire/build.h"
#include "pgwire/error_fields.h"

namespace sloestack::postgres {
namespace {

using decision::Outcome;
using decision::Role;

constexpr std::size_t kMaxMessageBytes = std::size_t{8} * 1024;  // of all messages but DataRow
constexpr std::size_t kReadyMessageBytes = 5;
constexpr std::uint32_t kNullSize = 0xffffffff;
constexpr std::uint16_t kBinaryFormat = 1;
constexpr double kMicrosPerMillisecond = 1e3;

void expect_end(const pgwire::FieldReader& fields) {
    if (!fields.empty()) throw pgwire::ProtocolError("message has bytes after its last field");
}

}  // namespace

Outcome outcome_of_sqlstate(std::string_view sqlstate) {
    if (sqlstate == pgwire::code::kReadOnly || sqlstate == pgwire::code::kTooFarBehind)
        return Outcome::not_eligible;
    if (sqlstate == pgwire::code::kTooManyConnections) return Outcome::overloaded;
    return Outcome::error;
}

std::size_t ResponseParser::max_size_of(char type) const {
    const bool has_begun = response_.value || response_.outcome;
    const bool row_may_come = response_.value && !has_row_ && !response_.outcome;
    switch (type) {
        case 'S':
        case 'N':
            return kMaxMessageBytes;
        case 'T':
        case 'I':
            return has_begun ? 0 : kMaxMessageBytes;
        case 'D':
            return row_may_come ? pgwire::kMaxValueBytes + kRowHeaderBytes - 1 : 0;
        case 'C':
        case 'E':
            return response_.outcome ? 0 : kMaxMessageBytes;
        case 'Z':
            return response_.outcome ? kReadyMessageBytes : 0;
        default:
            return 0;
    }
}

bool ResponseParser::read(const pgwire::Message& message) {
    switch (message.type) {
        case 'S':
            read_parameter(message.body);
            return false;
        case 'T':
            read_row_description(message.body);
            return false;
        case 'D':
            read_row(message.body);
            return false;
        case 'C':
            read_command_complete(message.body);
            return false;
        case 'E':
            read_error(message.body);
            return false;
        case 'I':
            response_.outcome = Outcome::error;
            return false;
        case 'N':
            return false;
        case 'Z':
            read_ready(message.body);
            return true;
        default:
            throw pgwire::ProtocolError("unknown message type from an endpoint");
    }
}

std::size_t ResponseParser::begin_streamed_row(std::string_view header, std::size_t size) {
    pgwire::FieldReader fields(header);
    fields.byte();   // type
    fields.int32();  // length, known as `size`
    read_column_count(fields);
    const std::size_t value_size = fields.int32();
    if (value_size != size - kRowHeaderBytes)
        throw pgwire::ProtocolError("DataRow: size of the value and of the message do not agree");
    has_row_ = true;
    return value_size;
}

// ParameterStatus. The known parameters are `role`; `applied_ms`, the replication position in milliseconds of
// Unix time; and `load`, a load report.
void ResponseParser::read_parameter(std::string_view body) {
    pgwire::FieldReader fields(body);
    const auto name = fields.text();
    const auto value = fields.text();
    expect_end(fields);
    if (name == "role") {
        if (value == "primary") response_.status.role = Role::primary;
        if (value == "replica") response_.status.role = Role::replica;
    } else if (name == "applied_ms") {
        if (const auto milliseconds = upstream::parse_number(value))
            response_.status.position = upstream::parse_position(*milliseconds, kMicrosPerMillisecond);
    } else if (name == "load") {
        response_.reported_status = upstream::parse_load_report(value);
    }
}

void ResponseParser::read_row_description(std::string_view body) {
    pgwire::FieldReader fields(body);
    if (fields.int16() != 1) throw pgwire::ProtocolError("RowDescription: the number of columns is not 1");
    auto& value = response_.value.emplace();
    value.column = fields.text();
    fields.int32();  // object ID of the table
    fields.int16();  // attribute number of the column
    value.type = fields.int32();
    fields.int16();  // size of the data type
    fields.int32();  // type modifier
    const auto format = fields.int16();
    if (format > kBinaryFormat) throw pgwire::ProtocolError("RowDescription: unknown format code");
    value.is_binary = format == kBinaryFormat;
    expect_end(fields);
}

void ResponseParser::read_column_count(pgwire::FieldReader& fields) const {
    if (!response_.value || has_row_ || fields.int16() != 1)
        throw pgwire::ProtocolError("DataRow: unexpected, or not exactly one column");
}

void ResponseParser::read_row(std::string_view body) {
    pgwire::FieldReader fields(body);
    read_column_count(fields);
    const auto size = fields.int32();
    auto& value = *response_.value;
    value.is_null = size == kNullSize;
    if (!value.is_null) value.bytes = fields.bytes(size);
    expect_end(fields);
    has_row_ = true;
}

// A command that completes without a row counts as an error.
void ResponseParser::read_command_complete(std::string_view body) {
    pgwire::FieldReader fields(body);
    const auto command_tag = fields.text();
    expect_end(fields);
    if (response_.value) response_.value->command_tag = command_tag;
    if (!response_.outcome) response_.outcome = has_row_ ? Outcome::ok : Outcome::error;
}

void ResponseParser::read_error(std::string_view body) {
    const auto sqlstate = pgwire::find_error_field(body, pgwire::kSqlstateField);
    if (!sqlstate) throw pgwire::ProtocolError("ErrorResponse has no SQLSTATE");
    response_.outcome = outcome_of_sqlstate(*sqlstate);
}

void ResponseParser::read_ready(std::string_view body) const {
    constexpr std::uint8_t kOutsideTransaction = 'I';
    if (!response_.outcome) throw pgwire::ProtocolError("ReadyForQuery before the end of a response");
    pgwire::FieldReader fields(body);
    if (fields.byte() != kOutsideTransaction)
        throw pgwire::ProtocolError("ReadyForQuery inside a transaction");
    expect_end(fields);
}

}  // namespace sloestack::postgres
