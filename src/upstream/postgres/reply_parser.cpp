#include "postgres/reply_parser.h"

#include "connection_pool/load_report.h"
#include "pgwire/build.h"
#include "pgwire/error_fields.h"

namespace sloestack::postgres {
namespace {

using decision::Outcome;
using decision::Role;

constexpr std::size_t kMaxMessageBytes = std::size_t{8} * 1024;  // of all but rows
constexpr std::size_t kReadyMessageBytes = 5;
constexpr std::uint32_t kNullSize = 0xffffffff;
constexpr std::uint16_t kBinaryFormat = 1;
constexpr double kMicrosPerMillisecond = 1e3;

void expect_end(const pgwire::FieldReader& fields) {
    if (!fields.empty()) throw pgwire::ProtocolError("a message longer than its fields");
}

}  // namespace

Outcome outcome_of_sqlstate(std::string_view sqlstate) {
    if (sqlstate == pgwire::code::kReadOnly || sqlstate == pgwire::code::kTooFarBehind)
        return Outcome::not_eligible;
    if (sqlstate == pgwire::code::kTooManyConnections) return Outcome::overloaded;
    return Outcome::error;
}

std::size_t ReplyParser::max_size_of(char type) const {
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
            return row_may_come ? pgwire::kMaxValueBytes + kRowHeadBytes - 1 : 0;
        case 'C':
        case 'E':
            return response_.outcome ? 0 : kMaxMessageBytes;
        case 'Z':
            return response_.outcome ? kReadyMessageBytes : 0;
        default:
            return 0;
    }
}

bool ReplyParser::read(const pgwire::Message& message) {
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
            throw pgwire::ProtocolError("an unknown message from a member");
    }
}

std::size_t ReplyParser::begin_streamed_row(std::string_view head, std::size_t size) {
    pgwire::FieldReader fields(head);
    fields.byte();   // type
    fields.int32();  // length, known as `size`
    read_column_count(fields);
    const std::size_t value_size = fields.int32();
    if (value_size != size - kRowHeadBytes) throw pgwire::ProtocolError("a value that does not fill its row");
    has_row_ = true;
    return value_size;
}

// Parameters on the wire: `role`; `applied_ms`, the replication position; `load`, a load report.
void ReplyParser::read_parameter(std::string_view body) {
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

void ReplyParser::read_row_description(std::string_view body) {
    pgwire::FieldReader fields(body);
    if (fields.int16() != 1) throw pgwire::ProtocolError("a row of other than one column");
    auto& value = response_.value.emplace();
    value.column = fields.text();
    fields.int32();  // table
    fields.int16();  // number of the column in it
    value.type = fields.int32();
    fields.int16();  // size of the type
    fields.int32();  // type modifier
    const auto format = fields.int16();
    if (format > kBinaryFormat) throw pgwire::ProtocolError("a column of an unknown format");
    value.is_binary = format == kBinaryFormat;
    expect_end(fields);
}

void ReplyParser::read_column_count(pgwire::FieldReader& fields) const {
    if (!response_.value || has_row_ || fields.int16() != 1)
        throw pgwire::ProtocolError("a row out of place");
}

void ReplyParser::read_row(std::string_view body) {
    pgwire::FieldReader fields(body);
    read_column_count(fields);
    const auto size = fields.int32();
    auto& value = *response_.value;
    value.is_null = size == kNullSize;
    if (!value.is_null) value.bytes = fields.bytes(size);
    expect_end(fields);
    has_row_ = true;
}

// A command that completes without a row has not served its query.
void ReplyParser::read_command_complete(std::string_view body) {
    pgwire::FieldReader fields(body);
    const auto command_tag = fields.text();
    expect_end(fields);
    if (response_.value) response_.value->command_tag = command_tag;
    if (!response_.outcome) response_.outcome = has_row_ ? Outcome::ok : Outcome::error;
}

void ReplyParser::read_error(std::string_view body) {
    const auto sqlstate = pgwire::find_error_field(body, pgwire::kSqlstateField);
    if (!sqlstate) throw pgwire::ProtocolError("an error without its code");
    response_.outcome = outcome_of_sqlstate(*sqlstate);
}

void ReplyParser::read_ready(std::string_view body) const {
    constexpr std::uint8_t kOutsideTransaction = 'I';
    if (!response_.outcome) throw pgwire::ProtocolError("ready without an answer");
    pgwire::FieldReader fields(body);
    if (fields.byte() != kOutsideTransaction) throw pgwire::ProtocolError("ready inside a transaction");
    expect_end(fields);
}

}  // namespace sloestack::postgres
