#include "pgwire/frame.h"

namespace sloestack::pgwire {
namespace {

constexpr std::uint32_t kCancelRequest = 80877102, kSslRequest = 80877103, kGssRequest = 80877104;

std::optional<std::size_t> measure(std::string_view bytes, std::size_t type_size, std::size_t largest) {
    if (bytes.size() < type_size + 4) return std::nullopt;
    const std::size_t length = FieldReader(bytes.substr(type_size)).int32();
    if (length < 4) throw ProtocolError("a message shorter than its own length field");
    if (length > largest) throw ProtocolError("a message of " + std::to_string(length) + " bytes");
    return type_size + length;
}

std::optional<Message> cut(std::string_view bytes, std::size_t type_size, std::optional<std::size_t> size) {
    if (!size || bytes.size() < *size) return std::nullopt;
    const auto head = type_size + 4;
    return Message{type_size ? bytes[0] : '\0', bytes.substr(head, *size - head), *size};
}

}  // namespace

std::optional<std::size_t> next_message_size(std::string_view head,
                                             const MaxLengthForType& max_length_for_type) {
    if (head.empty()) return std::nullopt;
    const auto most = max_length_for_type(head[0]);
    if (most == 0) throw ProtocolError("a message of a type that cannot come here");
    return measure(head, 1, most);
}
std::optional<Message> next_message(std::string_view bytes, const MaxLengthForType& max_length_for_type) {
    return cut(bytes, 1, next_message_size(bytes, max_length_for_type));
}
std::optional<Message> next_message(std::string_view bytes) {
    return cut(bytes, 1, measure(bytes, 1, kMaxStatementBytes));
}
std::optional<Message> next_startup(std::string_view bytes) {
    return cut(bytes, 0, measure(bytes, 0, kMaxStartupPacketBytes));
}

StartupRequest read_startup(std::string_view body) {
    FieldReader in(body);
    const auto code = in.int32();
    if (code == kSslRequest || code == kGssRequest) return {StartupKind::encryption};
    if (code == kCancelRequest) {
        const auto process = in.int32();
        return {StartupKind::cancel, 0, process, in.int32()};
    }
    if (code >> 16 != 3) throw ProtocolError("protocol version " + std::to_string(code >> 16));
    return {StartupKind::session, static_cast<int>(code & 0xffff)};
}

std::uint8_t FieldReader::byte() { return static_cast<std::uint8_t>(bytes(1)[0]); }
std::uint16_t FieldReader::int16() {
    const auto high = byte();
    return static_cast<std::uint16_t>(high << 8 | byte());
}
std::uint32_t FieldReader::int32() {
    const std::uint32_t high = int16();
    return high << 16 | int16();
}
std::string_view FieldReader::bytes(std::size_t count) {
    if (count > left_.size()) throw ProtocolError("a field runs past the end of its message");
    const auto out = left_.substr(0, count);
    left_.remove_prefix(count);
    return out;
}
std::string_view FieldReader::text() {
    const auto end = left_.find('\0');
    if (end == std::string_view::npos) throw ProtocolError("a text without its end");
    const auto out = left_.substr(0, end);
    left_.remove_prefix(end + 1);
    return out;
}

}  // namespace sloestack::pgwire
