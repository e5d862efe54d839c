// Builds the PostgreSQL messages that the proxy sends, each appended to a string. Source: PostgreSQL
// documentation, chapter "Message Formats".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sloestack::pgwire {

// SQLSTATEs that the proxy sends or interprets.
namespace code {
constexpr std::string_view kTooManyConnections = "53300";  // a rejection; the client may retry safely
constexpr std::string_view kCannotConnectNow = "57P03";    // a rejection; the client may retry safely
constexpr std::string_view kReadOnly = "25006";      // a write reached an endpoint that is not the primary
constexpr std::string_view kTooFarBehind = "72000";  // the replica is behind the required position
constexpr std::string_view kProtocolViolation = "08P01";
constexpr std::string_view kNotSupported = "0A000";
constexpr std::string_view kInvalidParameter = "22023";
constexpr std::string_view kAdminShutdown = "57P01";
constexpr std::string_view kQueryCanceled = "57014";
constexpr std::string_view kSystemError = "58000";
}  // namespace code

// Appends messages to a string that must outlive the builder. Functions are named after PostgreSQL's
// messages.
class Builder {
public:
    explicit Builder(std::string& out) : out_(out) {}

    // Messages to an endpoint.
    Builder& startup_message(std::string_view user, std::string_view database);
    Builder& query(std::string_view statement);
    // Appends the header of a Query message. The caller sends the `size` bytes of the statement and a zero
    // byte.
    Builder& query_header(std::size_t size);

    // Messages to a client.
    Builder& authentication_ok();
    Builder& parameter_status(std::string_view name, std::string_view value);
    Builder& backend_key_data(std::uint32_t process_id, std::uint32_t secret_key);
    // Appends a NegotiateProtocolVersion that offers 3.0, the only version supported.
    Builder& negotiate_protocol_version();
    // Appends all messages from AuthenticationOk to ReadyForQuery that accept a session. The client's
    // CancelRequest must carry `process_id` and `secret_key`.
    Builder& startup_response(std::uint32_t process_id = 0, std::uint32_t secret_key = 0);
    Builder& ready_for_query();
    Builder& empty_query_response();
    // Describes a result of one column; `type` is the object ID of its data type.
    Builder& row_description(std::string_view column, std::uint32_t type, bool binary);
    // Appends a row of one column; `std::nullopt` is NULL.
    Builder& data_row(std::optional<std::string_view> value);
    // Appends the header of a DataRow of one column. The caller sends the `size` bytes of the value.
    Builder& data_row_header(std::size_t size);
    Builder& command_complete(std::string_view tag);
    // `retry_after_ms` is sent in milliseconds as the detail field.
    Builder& error_response(std::string_view severity, std::string_view sqlstate,
                            std::string_view message_text,
                            std::optional<std::int64_t> retry_after_ms = std::nullopt);
    Builder& notice_response(std::string_view message_text);

private:
    // Appends one message: its type, its length and what `body` appends. Type 0 appends no type byte.
    template <class Body>
    Builder& message(char type, Body body);
    void int16(std::uint16_t value);
    void int32(std::uint32_t value);
    // Appends `value` and a zero byte.
    void text(std::string_view value);

    std::string& out_;
};

}  // namespace sloestack::pgwire
