// The line protocol between the old and the new process of a hot restart: one JSON object a line over a Unix
// stream socket. The wire names are fixed, since processes of different versions talk to each other.
//
//   successor -> predecessor   {"do":"hello"}
//   predecessor -> successor   {"do":"exclude","member":ID,"number":0} for each exclusion in force
//   predecessor -> successor   {"do":"welcome"}, once the predecessor is within its share of the limits
//   either -> the other        {"do":"exclude"|"include","member":ID,"number":N}
//   the receiver of N          {"do":"held","number":N}
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sloestack::hot_restart {

// The new process asks for the state of the old one.
struct HandshakeRequest {};

// The old process has sent its state: the new one may serve.
struct HandshakeComplete {};

// An operator has excluded an endpoint from service, or has included it again.
struct ExclusionUpdate {
    bool excluded = false;
    std::string endpoint;        // its name in discovery
    std::uint64_t sequence = 0;  // 0 where nobody waits for the acknowledgement
};

// The update with this sequence number is in force at the sender.
struct Acknowledgement {
    std::uint64_t sequence = 0;
};

using Message = std::variant<HandshakeRequest, HandshakeComplete, ExclusionUpdate, Acknowledgement>;

// A peer that sends a longer line is disconnected.
constexpr std::size_t kMaxLineBytes = std::size_t{64} * 1024;

// The message as a line, its newline included. An endpoint's name has to be UTF-8.
std::string encode(const Message& message);

// Reads a line without its newline; nothing where it is not a message of this protocol. Unknown keys are
// ignored, so that later versions may add some.
std::optional<Message> decode(std::string_view line);

}  // namespace sloestack::hot_restart
