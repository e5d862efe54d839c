#include "tds/packet.h"

namespace sloestack::tds {
namespace {

bool known(std::uint8_t type) {
    switch (static_cast<Type>(type)) {
        case Type::batch:
        case Type::rpc:
        case Type::result:
        case Type::attention:
        case Type::login:
        case Type::prelogin:
            return true;
    }
    return false;
}

}  // namespace

std::optional<Part> Packets::next(std::string_view bytes) {
    if (bytes.empty()) return std::nullopt;
    const auto at = [&](std::size_t i) { return static_cast<std::uint8_t>(bytes[i]); };
    if (!known(at(0))) throw BadMessage("a packet of type " + std::to_string(at(0)));
    const auto type = static_cast<Type>(at(0));
    // An attention may cut in between the packets of another message (MS-TDS 2.2.1.7).
    if (amid_ && type != type_ && type != Type::attention)
        throw BadMessage("a packet of another type amid a message");
    if (bytes.size() < 4) return std::nullopt;
    const std::size_t size = static_cast<std::size_t>(at(2)) << 8 | at(3);
    if (size < kHeader) throw BadMessage("a packet shorter than its header");
    if (size > most_) throw BadMessage("a packet of " + std::to_string(size) + " bytes");
    if (bytes.size() < size) return std::nullopt;
    Part out;
    out.type = type;
    out.bytes = bytes.substr(kHeader, size - kHeader);
    out.size = size;
    out.last = at(1) & status::last;
    out.ignored = at(1) & status::ignore;
    out.reset = at(1) & (status::reset | status::reset_keep_transaction);
    if (out.ignored && !out.last) throw BadMessage("a message called off before its last packet");
    if (type == Type::attention) {
        if (!out.last || !out.bytes.empty()) throw BadMessage("an attention that is more than a header");
        return out;
    }
    amid_ = !out.last;
    type_ = type;
    return out;
}

void PacketWriter::begin(Type type) {
    type_ = type;
    number_ = 1;
    held_.clear();
}

void PacketWriter::write(std::string_view payload) {
    const auto room = size_ - kHeader;
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
    const auto size = held_.size() + kHeader;
    const char header[kHeader] = {static_cast<char>(type_),
                                  static_cast<char>(last ? status::last : 0),
                                  static_cast<char>(size >> 8),
                                  static_cast<char>(size),
                                  0,
                                  0,
                                  static_cast<char>(number_++),
                                  0};
    out_.append(header, kHeader).append(held_);
    held_.clear();
}

}  // namespace sloestack::tds
