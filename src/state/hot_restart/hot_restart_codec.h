// The protocol between the old and the new process of a hot restart: one JSON object per line on a Unix
// stream socket. The keys and types must not change, because the two processes may be of different versions.
//
//   successor -> predecessor   {"do":"hello","sessions":true}
//   predecessor -> successor   {"do":"exclude","member":ID,"number":0} for each exclusion in force
//   predecessor -> successor   {"do":"welcome"}, once the predecessor is within its share of the limits
//   either -> the other        {"do":"exclude"|"include","member":ID,"number":N}
//   the receiver of N          {"do":"held","number":N}
//
// With "older":true in the hello the roles are reversed: a process that has lost its successor joins the
// newest one, and sends its exclusions too.
//
// Messages about sessions are sent only to a process that knows them. The successor tells that by "sessions",
// the predecessor by its first session_writes.
//
//   either -> the other        {"do":"session_writes","complete":true|false}, at first and at each change
//   either -> the other        {"do":"wrote","cell":G,"session":S,"position":P}, before the response
//   either -> the other        {"do":"session_writes?"}, the response is session_writes
//   either -> the other        {"do":"cancel","process":P,"secret":S}, if the sender has no such session
//
// Likewise, the ids of requests are sent only to a process that knows the message: the successor tells that
// by "requests":true in the hello, the predecessor by its first requests.
//
//   either -> the other        {"do":"requests","ids":[I,...]}, hashes; at first all, then each that is
//   opened
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::hot_restart {

// The successor requests the predecessor's state.
struct HandshakeRequest {
    bool knows_session_messages = false;  // the sender understands the messages about sessions
    bool is_older = false;                // the sender serves already, and has lost its successor
    bool knows_request_ids = false;       // the sender understands RequestIdReport
};

// The predecessor has sent its state; the successor may serve.
struct HandshakeComplete {};

// An operator has excluded an endpoint from service, or has included it again.
struct ExclusionUpdate {
    bool excluded = false;
    std::string endpoint;        // its name in discovery
    std::uint64_t sequence = 0;  // 0 if the sender does not wait for the acknowledgement
};

// The update with this sequence number is in force in the process that sends the acknowledgement.
struct Acknowledgement {
    std::uint64_t sequence = 0;
};

// Whether the sender reports to the receiver all session writes of which it knows that they are acknowledged
// by any other process than the receiver. If it has further peers it does not.
struct SessionWriteStatus {
    bool is_complete = false;
};

// Requests a SessionWriteStatus, which follows all writes that have been reported before.
struct SessionWriteStatusRequest {};

// A client has sent a CancelRequest with this key to the sender, which has no such session.
struct CancelRequest {
    std::uint32_t process = 0;
    std::uint32_t secret = 0;
};

// Requests with these ids may be executing at the sender.
struct RequestIdReport {
    std::vector<std::uint64_t> hashes;
};

using Message =
    std::variant<HandshakeRequest, HandshakeComplete, ExclusionUpdate, Acknowledgement, SessionWriteStatus,
                 SessionWriteStatusRequest, decision::SessionWrite, CancelRequest, RequestIdReport>;

// The longest line that is read; a peer that sends a longer one is disconnected.
constexpr std::size_t kMaxLineBytes = std::size_t{64} * 1024;

// Returns the message as a line with its newline. Throws nlohmann::json::type_error if an endpoint's name is
// not valid UTF-8.
std::string encode(const Message& message);

// Parses a line without its newline. Returns std::nullopt if it is not a message of this protocol. Ignores
// unknown keys, so that later versions can add some.
std::optional<Message> decode(std::string_view line);

}  // namespace sloestack::hot_restart
