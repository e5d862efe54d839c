#include "sessions/response_messages.h"

#include "pgwire/build.h"

namespace sloestack::downstream {
namespace {

using pgwire::Builder;

constexpr Micros kMicrosPerMillisecond = 1000;
constexpr std::size_t kValueOverheadBytes = 128;  // of the messages round a value, for one allocation
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
    return error_response(pgwire::code::kTooManyConnections, "not now", retry_after);
}

std::string unsupported_message_response(char type) {
    std::string out;
    Builder build(out);
    build.error_response("ERROR", pgwire::code::kNotSupported, "only simple queries are served here");
    // Other messages of the extended protocol are answered with ReadyForQuery once Sync comes.
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
    Builder(out).notice_response("input has ended; the answer still comes");
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
