// Framing of PostgreSQL's protocol, version 3: cuts messages out of bytes as they come in. Pure: the caller
// keeps the bytes, and what is not whole yet stays there. A message is bounded before its body is waited for.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sloestack::pgwire {

struct ProtocolError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The largest values; in a statement hexadecimal digits double one. What is far beyond that is no value of a
// member, and no statement of a client.
constexpr std::size_t kMaxValueBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxStatementBytes = 2 * kMaxValueBytes + 8 * 1024;
// Up to here a message is gathered whole where it is read; beyond it is large and has ways of its own.
constexpr std::size_t kMaxBufferedMessageBytes = 72 * 1024;
constexpr std::size_t kMaxStartupPacketBytes = 10'000;  // PostgreSQL's own limit

struct Message {
    char type = 0;          // 0 in a start-up packet
    std::string_view body;  // within the caller's bytes
    std::size_t size = 0;   // bytes the whole message takes
};

// How long a message of a type may be here, its length field included; 0 where none such may come now.
using MaxLengthForType = std::function<std::size_t(char type)>;
// The bytes that the message takes which begins with these; nothing where that cannot be told yet. Throws
// ProtocolError as soon as type or length show that it is none: nobody waits for the rest of what will be
// turned away.
std::optional<std::size_t> next_message_size(std::string_view head,
                                             const MaxLengthForType& max_length_for_type);
constexpr std::size_t kMessageHeaderBytes = 5;  // bytes that tell it
// The first message of `bytes`; nothing where it is not whole yet. Throws as next_message_size.
std::optional<Message> next_message(std::string_view bytes, const MaxLengthForType& max_length_for_type);
std::optional<Message> next_message(std::string_view bytes);  // of any type, up to the largest value
// The same for the packet a client begins with, which has no type.
std::optional<Message> next_startup(std::string_view bytes);

enum class StartupKind { session, encryption, cancel };
struct StartupRequest {
    StartupKind kind = StartupKind::session;
    int minor = 0;                          // of protocol 3
    std::uint32_t process = 0, secret = 0;  // of a request to cancel: the key that the greeting gave out
};
StartupRequest read_startup(std::string_view body);  // throws ProtocolError

// A cursor over the fields of one message; reading past its end throws ProtocolError.
class FieldReader {
public:
    explicit FieldReader(std::string_view body) : left_(body) {}
    std::uint8_t byte();
    std::uint16_t int16();
    std::uint32_t int32();
    std::string_view bytes(std::size_t count);
    std::string_view text();  // up to a zero byte
    bool empty() const { return left_.empty(); }

private:
    std::string_view left_;
};

}  // namespace sloestack::pgwire
