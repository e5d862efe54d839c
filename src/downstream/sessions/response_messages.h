// Builds the messages that the proxy sends to clients, as bytes ready to be written. Does no input or output.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "deadlines/clock.h"
#include "sessions/cancel_keys.h"
#include "traffic/response.h"

namespace sloestack::downstream {

// An ErrorResponse and ReadyForQuery, which end one query; the connection stays open. `retry_after` is in
// microseconds and sent in milliseconds, rounded up.
std::string error_response(std::string_view sqlstate, std::string_view message,
                           std::optional<Micros> retry_after = std::nullopt);
// An ErrorResponse after which the connection is closed.
std::string fatal_error(std::string_view sqlstate, std::string_view message);
// The response to a rejected request. The request was not executed or may be executed again, so that a retry
// is safe. A `retry_after` of 0 asks for a retry without delay.
std::string rejection_response(Micros retry_after);
// The error response to a message of the type `type` outside the simple query protocol, the only one
// supported.
std::string unsupported_message_response(char type);

// The messages from AuthenticationOk to ReadyForQuery that follow the start-up packet. With
// `negotiate_minor_version` they begin with NegotiateProtocolVersion.
std::string greeting(const CancelKey& key, bool negotiate_minor_version);
std::string ready_for_query();
std::string empty_query_response();
// A NoticeResponse for a client that has sent a FIN: ignored by a client that still reads, and causes a
// RST if the client has closed the connection.
std::string input_ended_notice();

// A whole response with one row.
std::string value_response(const traffic::ResultValue& value);
// The parts of a streamed response before and after its value of `size` bytes.
std::string value_response_head(const traffic::ResultValue& head, std::size_t size);
std::string value_response_end(const std::string& command_tag);

}  // namespace sloestack::downstream
