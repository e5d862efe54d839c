#include "sessions/response_messages.h"

#include "pgwire/build.h"

namespace sloestack::downstream {
namespace {

using pgwire::Builder;

constexpr std::size_t kValueOverheadBytes = 128;  // of the messages around a value, to allocate once
constexpr char kFunctionCall = 'F';

std::int64_t milliseconds_rounded_up(Micros time) {
    return (time + kMicrosPerMillisecond - 1) / kMicrosPerMillisecond;
}

}  // namespace

std::string error_response(std::string_view sqlstate, std::string_view message,
                           std::optional<Micros> retry_after) {
    std::optional<std::int64_t> retry_after_ms;
    if (retry_after) retry_after_ms = milliseconds_rounded_up(*retry_after);
    std::string out;
    Builder(out).error_response("ERROR", sqlstate, message, retry_after_ms).ready_for_query();
    return out;
}

std::string fatal_error(std::string_view sqlstate, std::string_view message) {
    std::string out;
    Builder(out).error_response("FATAL", sqlstate, message);
    return out;
}

std::string rejection_response(Micros retry_after) {
    return error_response(pgwire::code::kTooManyConnections, "request rejected; it can be retried",
                          retry_after);
}

std::string unsupported_message_response(char type) {
    std::string out;
    Builder build(out);
    build.error_response("ERROR", pgwire::code::kNotSupported, "only the simple query protocol is supported");
    // The other messages belong to the extended query protocol: ReadyForQuery is sent when Sync arrives.
    if (type == kFunctionCall) build.ready_for_query();
    return out;
}

std::string greeting(const CancelKey& key, bool negotiate_minor_version) {
    std::string out;
    Builder build(out);
    if (negotiate_minor_version) build.negotiate_protocol_version();
    build.startup_response(key.process, key.secret);
    return out;
}

std::string ready_for_query() {
    std::string out;
    Builder(out).ready_for_query();
    return out;
}

std::string empty_query_response() {
    std::string out;
    Builder(out).empty_query_response().ready_for_query();
    return out;
}

std::string input_ended_notice() {
    std::string out;
    Builder(out).notice_response("end of input received; the response will still be sent");
    return out;
}

std::string value_response(const traffic::ResultValue& value) {
    std::string out;
    out.reserve(value.bytes.size() + kValueOverheadBytes);
    const auto row = value.is_null ? std::nullopt : std::optional<std::string_view>(value.bytes);
    Builder(out)
        .row_description(value.column, value.type, value.is_binary)
        .data_row(row)
        .command_complete(value.command_tag)
        .ready_for_query();
    return out;
}

std::string value_response_head(const traffic::ResultValue& head, std::size_t size) {
    std::string out;
    Builder(out).row_description(head.column, head.type, head.is_binary).data_row_header(size);
    return out;
}

std::string value_response_end(const std::string& command_tag) {
    std::string out;
    Builder(out).command_complete(command_tag).ready_for_query();
    return out;
}

}  // namespace sloestack::downstream
