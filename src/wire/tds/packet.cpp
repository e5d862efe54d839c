#include "tds/packet.h"

namespace sloestack::tds {
namespace {

bool known(std::uint8_t type) {
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
    const auto at = [&](std::size_t i) { return static_cast<std::uint8_t>(bytes[i]); };
    if (!known(at(0))) throw ProtocolError("a packet of type " + std::to_string(at(0)));
    const auto type = static_cast<PacketType>(at(0));
    // An attention may cut in between the packets of another message (MS-TDS 2.2.1.7).
    if (amid_ && type != type_ && type != PacketType::attention)
        throw ProtocolError("a packet of another type amid a message");
    if (bytes.size() < 4) return std::nullopt;
    const std::size_t size = static_cast<std::size_t>(at(2)) << 8 | at(3);
    if (size < kPacketHeaderBytes) throw ProtocolError("a packet shorter than its header");
    if (size > most_) throw ProtocolError("a packet of " + std::to_string(size) + " bytes");
    if (bytes.size() < size) return std::nullopt;
    Packet out;
    out.type = type;
    out.payload = bytes.substr(kPacketHeaderBytes, size - kPacketHeaderBytes);
    out.size = size;
    out.is_last = at(1) & status::end_of_message;
    out.is_ignored = at(1) & status::ignore;
    out.resets_connection = at(1) & (status::reset | status::reset_keep_transaction);
    if (out.is_ignored && !out.is_last) throw ProtocolError("a message called off before its last packet");
    if (type == PacketType::attention) {
        if (!out.is_last || !out.payload.empty())
            throw ProtocolError("an attention that is more than a header");
        return out;
    }
    amid_ = !out.is_last;
    type_ = type;
    return out;
}

void PacketWriter::begin(PacketType type) {
    type_ = type;
    number_ = 1;
    held_.clear();
}

void PacketWriter::write(std::string_view payload) {
    const auto room = size_ - kPacketHeaderBytes;
    while (!payload.empty()) {
        // A full packet leaves only once more follows: the last one carries the mark.
        if (held_.size() == room) flush(false);
        const auto part = payload.substr(0, room - held_.size());
        held_.append(part);
        payload.remove_prefix(part.size());
    }
}

void PacketWriter::end() { flush(true); }

void PacketWriter::flush(bool last) {
    const auto size = held_.size() + kPacketHeaderBytes;
    const char header[kPacketHeaderBytes] = {static_cast<char>(type_),
                                             static_cast<char>(last ? status::end_of_message : 0),
                                             static_cast<char>(size >> 8),
                                             static_cast<char>(size),
                                             0,
                                             0,
                                             static_cast<char>(number_++),
                                             0};
    out_.append(header, kPacketHeaderBytes).append(held_);
    held_.clear();
}

}  // namespace sloestack::tds
