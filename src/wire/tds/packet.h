// Packets of the Tabular Data Stream, versions 7.2 to 7.4: each packet has a header of eight bytes and
// carries a part of a message. Does no I/O; packets are read as their bytes arrive. Source: MS-TDS 2.2.3.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sloestack::tds {

// Bytes that violate the protocol, or a part of the protocol that is not supported. The message never
// contains a password.
struct ProtocolError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// MS-TDS 2.2.3.1.1. Other types are not supported.
enum class PacketType : std::uint8_t {
    batch = 0x01,
    rpc = 0x03,
    result = 0x04,
    attention = 0x06,
    login = 0x10,
    prelogin = 0x12
};
namespace status {
constexpr std::uint8_t end_of_message = 0x01;
constexpr std::uint8_t ignore = 0x02;  // the message is to be ignored; valid only with end_of_message
constexpr std::uint8_t reset = 0x08, reset_keep_transaction = 0x10;
}  // namespace status

constexpr std::size_t kPacketHeaderBytes = 8;
// Bounds of the packet size that LOGIN7 may request (MS-TDS 2.2.6.4), and the size before it is negotiated.
constexpr std::size_t kMinPacketBytes = 512, kMaxPacketBytes = 32767, kDefaultPacketBytes = 4096;

struct Packet {
    PacketType type = PacketType::result;
    std::string_view payload;  // points into the caller's bytes
    std::size_t size = 0;      // of the whole packet with its header, in bytes
    bool is_last = false, is_ignored = false, resets_connection = false;
};

// Splits the bytes of one direction into packets. Checks that the packets of a message have one type and that
// no packet is larger than the negotiated size.
class PacketReader {
public:
    // Returns the first packet of `bytes`, or `std::nullopt` if it is not complete yet. Throws ProtocolError
    // as soon as its header is not valid, before its payload has arrived. The next call must begin after the
    // packet.
    std::optional<Packet> next(std::string_view bytes);
    void set_max_packet_size(std::size_t packet_size) { max_packet_size_ = packet_size; }
    // Returns true if the last packet of a message has not been read yet.
    bool is_inside_message() const { return is_inside_message_; }
    // Returns the type of the last message read, other than attentions.
    PacketType type() const { return type_; }

private:
    std::size_t max_packet_size_ = kDefaultPacketBytes;
    bool is_inside_message_ = false;
    PacketType type_ = PacketType::result;
};

// Appends messages, split into packets, to a string that must outlive the writer. Each packet of a message
// but the last is full.
class PacketWriter {
public:
    explicit PacketWriter(std::string& out) : out_(out) {}
    // Sets the size of a full packet, its header included.
    void set_packet_size(std::size_t packet_size) { packet_size_ = packet_size; }
    void begin(PacketType type);
    // Appends to the payload of the message; may be called any number of times.
    void write(std::string_view payload);
    // Ends the message. An empty message becomes one packet without payload.
    void end();
    // Writes a whole message.
    void message(PacketType type, std::string_view payload) { begin(type), write(payload), end(); }

private:
    void write_packet(bool is_last);
    std::string& out_;
    std::string payload_;  // of the packet that is not written yet
    std::size_t packet_size_ = kDefaultPacketBytes;
    PacketType type_ = PacketType::result;
    std::uint8_t packet_id_ = 1;
};

}  // namespace sloestack::tds
