// Framing of PostgreSQL's protocol, version 3: splits received bytes into messages. Keeps no state: the
// caller buffers the bytes, and an incomplete message stays in that buffer. The length of a message is
// checked before its body has arrived. Source: PostgreSQL documentation, chapter "Message Formats".
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sloestack::pgwire {

// Bytes that violate the protocol, or a message that is not supported.
struct ProtocolError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

constexpr std::size_t kMaxValueBytes = 4 * 1024 * 1024;
// A statement may hold one value of kMaxValueBytes, which hexadecimal digits make twice as long.
constexpr std::size_t kMaxStatementBytes = 2 * kMaxValueBytes + 8 * 1024;
// A message up to this size is buffered whole before it is parsed; a larger one is streamed, or gathered
// apart from the connection's buffer.
constexpr std::size_t kMaxBufferedMessageBytes = 72 * 1024;
constexpr std::size_t kMaxStartupPacketBytes = 10'000;  // PostgreSQL's own limit

struct Message {
    char type = 0;          // 0 for a startup packet, which has no type
    std::string_view body;  // points into the caller's bytes
    std::size_t size = 0;   // of the whole message, in bytes
};

// Returns the largest value of the length field, which counts itself, that a message of `type` may have now,
// or 0 if a message of that type is not valid now.
using MaxLengthForType = std::function<std::size_t(char type)>;
// Returns the size in bytes of the whole message that begins with `head`, or `std::nullopt` if `head` is
// shorter than kMessageHeaderBytes. Throws ProtocolError as soon as type or length are not valid, so that no
// caller waits for the body of a message that is rejected anyway.
std::optional<std::size_t> next_message_size(std::string_view head,
                                             const MaxLengthForType& max_length_for_type);
constexpr std::size_t kMessageHeaderBytes = 5;  // type and length: as many bytes as next_message_size needs
// Returns the first message of `bytes`, or `std::nullopt` if it is not complete yet. Throws ProtocolError as
// next_message_size does.
std::optional<Message> next_message(std::string_view bytes, const MaxLengthForType& max_length_for_type);
// The same for a message of any type, with a length of at most kMaxStatementBytes.
std::optional<Message> next_message(std::string_view bytes);
// The same for a startup packet: the first packet of a client, which has no type.
std::optional<Message> next_startup(std::string_view bytes);

enum class StartupKind { session, encryption, cancel };
struct StartupRequest {
    StartupKind kind = StartupKind::session;
    int minor = 0;  // the minor version of protocol 3
    // Of a CancelRequest: process ID and secret key, as BackendKeyData gave them to the client.
    std::uint32_t process = 0, secret = 0;
};
// Parses the body of a startup packet: StartupMessage, SSLRequest, GSSENCRequest or CancelRequest. Throws
// ProtocolError if the body is too short or the major protocol version is not 3.
StartupRequest read_startup(std::string_view body);

// Reads the fields of one message in order; integers are big-endian. Each function throws ProtocolError if
// the message ends before the field does.
class FieldReader {
public:
    explicit FieldReader(std::string_view body) : left_(body) {}
    std::uint8_t byte();
    std::uint16_t int16();
    std::uint32_t int32();
    std::string_view bytes(std::size_t count);
    // Reads a string and its terminating zero byte, which is not part of the result.
    std::string_view text();
    bool empty() const { return left_.empty(); }

private:
    std::string_view left_;
};

}  // namespace sloestack::pgwire
