// Packets of the Tabular Data Stream, versions 7.2 to 7.4: eight bytes of header before each part of a
// message. Pure and incremental: bytes go in as they come, parts of messages come out. Source: MS-TDS 2.2.3.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sloestack::tds {

// What cannot be part of the protocol, or is none of what is spoken here. The sentence never holds a
// password.
struct ProtocolError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// MS-TDS 2.2.3.1.1. Those that are not named here are refused.
enum class PacketType : std::uint8_t {
    batch = 0x01,
    rpc = 0x03,
    result = 0x04,
    attention = 0x06,
    login = 0x10,
    prelogin = 0x12
};
namespace status {
constexpr std::uint8_t end_of_message = 0x01;  // of its message
constexpr std::uint8_t ignore = 0x02;  // the message is called off by its sender; only together with last
constexpr std::uint8_t reset = 0x08, reset_keep_transaction = 0x10;
}  // namespace status

constexpr std::size_t kPacketHeaderBytes = 8;
// Bounds of the size that LOGIN7 may ask for (MS-TDS 2.2.6.4), and what holds until it is agreed on.
constexpr std::size_t kMinPacketBytes = 512, kMaxPacketBytes = 32767, kDefaultPacketBytes = 4096;

struct Packet {
    PacketType type = PacketType::result;
    std::string_view payload;  // of the payload, where the caller's bytes stand
    std::size_t size = 0;      // the whole packet takes, its header included
    bool is_last = false, is_ignored = false, resets_connection = false;
};

// Cuts packets off the front of bytes. It holds the rules of one direction: packets of a message have one
// type, and none is longer than was agreed on.
class PacketReader {
public:
    // The first packet of `bytes`; nothing where it is not whole yet. Throws ProtocolError as soon as its
    // header shows that it is none: nobody waits for the rest. The next call must begin behind it.
    std::optional<Packet> next(std::string_view bytes);
    void set_max_packet_size(std::size_t packet_size) { most_ = packet_size; }
    bool is_inside_message() const { return amid_; }  // its last packet has not come
    PacketType type() const { return type_; }         // of the message read last, an attention aside

private:
    std::size_t most_ = kDefaultPacketBytes;
    bool amid_ = false;
    PacketType type_ = PacketType::result;
};

// Writes messages as packets. The payload may be given in parts; each packet but the last of a message is
// full.
class PacketWriter {
public:
    explicit PacketWriter(std::string& out) : out_(out) {}
    void set_packet_size(std::size_t packet_size) { size_ = packet_size; }
    void begin(PacketType type);
    void write(std::string_view payload);
    void end();  // also of an empty message: a packet without payload
    // All of it.
    void message(PacketType type, std::string_view payload) { begin(type), write(payload), end(); }

private:
    void flush(bool last);
    std::string& out_;
    std::string held_;
    std::size_t size_ = kDefaultPacketBytes;
    PacketType type_ = PacketType::result;
    std::uint8_t number_ = 1;
};

}  // namespace sloestack::tds
