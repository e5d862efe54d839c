#include "tds/packet.h"

namespace sloestack::tds {
namespace {

bool is_supported(std::uint8_t type) {
    switch (static_cast<PacketType>(type)) {
        case PacketType::batch:
        case PacketType::rpc:
        case PacketType::result:
        case PacketType::attention:
        case PacketType::login:
        case PacketType::prelogin:
            return true;
    }
    return false;
}

}  // namespace

std::optional<Packet> PacketReader::next(std::string_view bytes) {
    if (bytes.empty()) return std::nullopt;
    const auto byte = [&](std::size_t at) { return static_cast<std::uint8_t>(bytes[at]); };
    if (!is_supported(byte(0))) throw ProtocolError("unsupported packet type " + std::to_string(byte(0)));
    const auto type = static_cast<PacketType>(byte(0));
    // An attention may arrive between the packets of another message (MS-TDS 2.2.1.7).
    if (is_inside_message_ && type != type_ && type != PacketType::attention)
        throw ProtocolError("a packet whose type differs from the other packets of its message");
    if (bytes.size() < 4) return std::nullopt;
    const std::size_t size = static_cast<std::size_t>(byte(2)) << 8 | byte(3);
    if (size < kPacketHeaderBytes) throw ProtocolError("a packet size below 8 bytes, the size of its header");
    if (size > max_packet_size_)
        throw ProtocolError("a packet of " + std::to_string(size) +
                            " bytes, above the negotiated packet size");
    if (bytes.size() < size) return std::nullopt;
    Packet out;
    out.type = type;
    out.payload = bytes.substr(kPacketHeaderBytes, size - kPacketHeaderBytes);
    out.size = size;
    out.is_last = byte(1) & status::end_of_message;
    out.is_ignored = byte(1) & status::ignore;
    out.resets_connection = byte(1) & (status::reset | status::reset_keep_transaction);
    if (out.is_ignored && !out.is_last)
        throw ProtocolError("a packet with the ignore status that is not the last of its message");
    if (type == PacketType::attention) {
        if (!out.is_last || !out.payload.empty())
            throw ProtocolError("an attention with a payload or without the end-of-message status");
        return out;
    }
    is_inside_message_ = !out.is_last;
    type_ = type;
    return out;
}

void PacketWriter::begin(PacketType type) {
    type_ = type;
    packet_id_ = 1;
    payload_.clear();
}

void PacketWriter::write(std::string_view payload) {
    const auto room = packet_size_ - kPacketHeaderBytes;
    while (!payload.empty()) {
        // Write a full packet only when more follows, since the last one has the end-of-message status.
        if (payload_.size() == room) write_packet(false);
        const auto part = payload.substr(0, room - payload_.size());
        payload_.append(part);
        payload.remove_prefix(part.size());
    }
}

void PacketWriter::end() { write_packet(true); }

void PacketWriter::write_packet(bool is_last) {
    const auto size = payload_.size() + kPacketHeaderBytes;
    const char header[kPacketHeaderBytes] = {static_cast<char>(type_),
                                             static_cast<char>(is_last ? status::end_of_message : 0),
                                             static_cast<char>(size >> 8),
                                             static_cast<char>(size),
                                             0,
                                             0,
                                             static_cast<char>(packet_id_++),
                                             0};
    out_.append(header, kPacketHeaderBytes).append(payload_);
    payload_.clear();
}

}  // namespace sloestack::tds
