// Builds the messages of PostgreSQL's protocol that the proxy sends, each appended to a string.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sloestack::pgwire {

// SQLSTATEs the proxy says or understands.
namespace code {
constexpr std::string_view kTooManyConnections = "53300";  // a refusal: trying again is harmless
constexpr std::string_view kCannotConnectNow = "57P03";    // a refusal too
constexpr std::string_view kReadOnly = "25006";            // a write at a member that is no primary
constexpr std::string_view kTooFarBehind = "72000";
constexpr std::string_view kProtocolViolation = "08P01";
constexpr std::string_view kNotSupported = "0A000";
constexpr std::string_view kInvalidParameter = "22023";
constexpr std::string_view kOutOfMemory = "53200";
constexpr std::string_view kAdminShutdown = "57P01";
constexpr std::string_view kQueryCanceled = "57014";
constexpr std::string_view kSystemError = "58000";
}  // namespace code

class Builder {
public:
    explicit Builder(std::string& out) : out_(out) {}

    // To a member
    Builder& startup_message(std::string_view user, std::string_view database);
    Builder& query(std::string_view statement);
    Builder& query_header(std::size_t size);  // a statement of so many bytes and a zero byte follow
    // To a client
    Builder& authentication_ok();
    Builder& parameter_status(std::string_view name, std::string_view value);
    Builder& backend_key_data(std::uint32_t process, std::uint32_t secret);
    Builder& negotiate_protocol_version();  // only 3.0 is spoken
    // All that this program says to a client that begins a session; the key is for its requests to cancel.
    Builder& startup_response(std::uint32_t process = 0, std::uint32_t secret = 0);
    Builder& ready_for_query();
    Builder& empty_query_response();
    Builder& row_description(std::string_view column, std::uint32_t type, bool binary);
    Builder& data_row(std::optional<std::string_view> value);
    Builder& data_row_header(std::size_t size);  // so many bytes follow
    Builder& command_complete(std::string_view tag);
    Builder& error_response(std::string_view severity, std::string_view sqlstate, std::string_view message,
                            std::optional<std::int64_t> retry_after_ms = std::nullopt);
    Builder& notice_response(std::string_view message);

private:
    // Writes one message: its type, its length once known, and what `body` appends.
    template <class Body>
    Builder& message(char type, Body body);
    void int16(std::uint16_t value);
    void int32(std::uint32_t value);
    void text(std::string_view value);

    std::string& out_;
};

}  // namespace sloestack::pgwire
