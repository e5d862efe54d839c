// The messages that the proxy sends to clients, each as bytes ready to be written. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "deadlines/clock.h"
#include "sessions/cancel_keys.h"
#include "traffic/response.h"

namespace sloestack::downstream {

// An ErrorResponse that ends one query; the connection goes on. `retry_after` in microseconds, rounded up to
// whole milliseconds on the wire.
std::string error_response(std::string_view sqlstate, std::string_view message,
                           std::optional<Micros> retry_after = std::nullopt);
// An ErrorResponse after which the connection is closed.
std::string fatal_error(std::string_view sqlstate, std::string_view message);
// The request was not attempted; retrying it is harmless. A `retry_after` of 0 asks for no delay.
std::string rejection_response(Micros retry_after);
// The answer to a message of the extended query protocol, `type`: only simple queries are served.
std::string unsupported_message_response(char type);

std::string greeting(const CancelKey& key, bool negotiate_minor_version);
std::string ready_for_query();
std::string empty_query_response();
// Skipped by a client that reads on; a client that has left answers it with a reset.
std::string input_ended_notice();

// A whole response of one row.
std::string value_response(const traffic::ResultValue& value);
// The beginning of a response whose value of `size` bytes follows, and what stands behind the value.
std::string value_response_head(const traffic::ResultValue& head, std::size_t size);
std::string value_response_end(const std::string& command_tag);

}  // namespace sloestack::downstream
