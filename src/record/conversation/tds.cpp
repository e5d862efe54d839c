// The dialect of TDS. The digest of a response covers the payloads of its packets without the packet headers,
// since the packet boundaries only follow from the negotiated packet size.
#include <stdexcept>

#include "conversation/dialect_base.h"
#include "tds/login.h"
#include "tds/request.h"
#include "tds/token.h"

namespace sloestack::conversation {
namespace {

// Error numbers that mean a rejected request: a retry is safe (docs/design/tds.md).
constexpr std::int32_t kBusy = 40501, kTooManyConnections = 10928;
constexpr std::string_view kRetryAfterPrefix =
    "come again after ";                        // followed by milliseconds, in the message of a rejection
constexpr std::uint8_t kMinErrorSeverity = 11;  // lower severities are informational
// A statement in UTF-16 with its parameters and headers.
constexpr std::size_t kMaxMessageBytes = 2 * tds::kMaxParameterBytes + 64 * 1024;

class Tds final : public DialectBase, private tds::TokenEvents {
public:
    Tds(ConnectionId connection, Memory& memory, Listener& listener)
        : DialectBase(connection, memory, listener), tokens_(static_cast<tds::TokenEvents&>(*this)) {
        // The negotiated packet size is not tracked; the protocol's maximum is accepted.
        from_client_.set_max_packet_size(tds::kMaxPacketBytes);
        from_server_.set_max_packet_size(tds::kMaxPacketBytes);
    }
    ~Tds() override { release_message(); }

private:
    std::size_t read_message(Side from, std::string_view bytes, Time at) override;
    std::string place_in_message(Side side) const override;
    void direction_cut(Side side) override {
        if (side == Side::client) release_message();
    }
    void read_client_packet(const tds::Packet& packet_info, std::string_view packet, Time at);
    void read_server_packet(const tds::Packet& packet_info, Time at);
    void request(Time at);
    void buffer_packet(std::string_view packet, std::string_view payload);
    void release_message() {
        memory_.held -= packets_.size() + payload_.size();
        packets_.clear();
        payload_.clear();
    }

    // Events of the response's tokens.
    void columns(const std::vector<tds::Column>&) override {}
    void row() override { response_.kind = response_.kind == Kind::none ? Kind::served : response_.kind; }
    void value(std::size_t, std::optional<std::string_view>) override {}
    void begin_value(std::size_t, std::optional<std::uint64_t>) override {}
    void value_chunk(std::string_view) override {}
    void end_value() override {}
    void error(const tds::ErrorOrInfo& notice) override;
    void done(const tds::Done& done) override {
        if (done.status & tds::done::attention) is_acknowledgement_ = true;
        if (response_.kind == Kind::none) response_.kind = Kind::served;
    }

    tds::PacketReader from_client_, from_server_;
    tds::TokenReader tokens_;
    std::string packets_, payload_;  // the client's incomplete message: its packets, and their payloads
    std::string login_packets_;
    bool is_prelogin_pending_ = false, has_login_ = false;
    int pending_attentions_ = 0;       // attentions without an acknowledgement
    bool is_acknowledgement_ = false;  // the current response acknowledges an attention
};

std::size_t Tds::read_message(Side from, std::string_view bytes, Time at) {
    const auto packet_info = (from == Side::client ? from_client_ : from_server_).next(bytes);
    if (!packet_info) return 0;
    if (from == Side::client)
        read_client_packet(*packet_info, bytes.substr(0, packet_info->size), at);
    else
        read_server_packet(*packet_info, at);
    return packet_info->size;
}

void Tds::buffer_packet(std::string_view packet, std::string_view payload) {
    if (payload_.size() + payload.size() > kMaxMessageBytes ||
        memory_.held + packet.size() + payload.size() > memory_.most)
        throw tds::ProtocolError("a message that exceeds the memory limit");
    packets_.append(packet);
    payload_.append(payload);
    memory_.held += packet.size() + payload.size();
}

void Tds::read_client_packet(const tds::Packet& packet_info, std::string_view packet, Time at) {
    if (packet_info.type == tds::PacketType::attention) {
        if (!greeted_) throw tds::ProtocolError("an attention before the login");
        ++pending_attentions_;
        return;
    }
    if (packet_info.type == tds::PacketType::result)
        throw tds::ProtocolError("a response packet from the client");
    buffer_packet(packet, packet_info.payload);
    if (!packet_info.is_last) return;
    if (packet_info.is_ignored)
        return release_message();  // canceled before it was complete; the server does not respond
    if (packet_info.type == tds::PacketType::prelogin) {
        tds::read_prelogin(payload_);
        is_prelogin_pending_ = true;
        login_packets_ += packets_;
    } else if (packet_info.type == tds::PacketType::login) {
        tds::read_login(payload_);
        has_login_ = true;
        login_packets_ += packets_;
        listener_.opened({connection_, at, login_packets_});
    } else {
        if (!has_login_) throw tds::ProtocolError("a request before the login");
        payload_.size() ? request(at) : void();
    }
    release_message();
}

void Tds::request(Time at) {
    const bool is_batch = from_client_.type() == tds::PacketType::batch;
    const auto parsed = is_batch ? tds::read_batch(payload_) : tds::read_rpc(payload_);
    RequestEvent out;
    out.connection = connection_;
    out.at = at;
    out.ahead = !unanswered_.empty() || !greeted_;
    out.bytes = packets_;
    read_comment(parsed.statement, out);
    out.number = add_request();
    listener_.asked(out);
}

void Tds::error(const tds::ErrorOrInfo& notice) {
    if (notice.severity < kMinErrorSeverity) return;
    response_.code = std::to_string(notice.number);
    response_.kind =
        notice.number == kBusy || notice.number == kTooManyConnections ? Kind::refused : Kind::failed;
    const auto from = notice.text.find(kRetryAfterPrefix);
    if (from == std::string::npos) return;
    const auto digits = notice.text.substr(from + kRetryAfterPrefix.size(), 9);
    if (!digits.empty() && digits[0] >= '0' && digits[0] <= '9') response_.advice = std::stoll(digits) * 1000;
}

void Tds::read_server_packet(const tds::Packet& packet_info, Time at) {
    if (packet_info.type != tds::PacketType::result)
        throw tds::ProtocolError("a packet from the server that is not a response");
    if (is_prelogin_pending_) {
        hash(packet_info.payload);
        if (packet_info.is_last) is_prelogin_pending_ = false;
        return;
    }
    tokens_.read(packet_info.payload);
    hash(packet_info.payload);
    if (!packet_info.is_last) return;
    if (tokens_.is_inside_token()) throw tds::ProtocolError("a response that ends inside a token");
    if (!greeted_) {
        if (!has_login_) throw tds::ProtocolError("a response without a request");
        response_ = {};
        is_acknowledgement_ = false;
        greeted_ = true;
        return listener_.greeted(connection_, at, digest());
    }
    if (std::exchange(is_acknowledgement_, false)) {
        // Each attention has one acknowledgement. If the response was sent before, the acknowledgement is a
        // message of its own.
        if (pending_attentions_-- == 0) throw tds::ProtocolError("an acknowledgement without an attention");
        if (unanswered_.empty()) {
            response_ = {};
            digest();
            return;
        }
        response_.kind = Kind::called_off;
    }
    if (!unanswered_.empty()) return report_response(at, true);
    if (!client_.cut) throw tds::ProtocolError("a response without a request");
    cut(Side::server, "responses to requests that could not be read");
}

std::string Tds::place_in_message(Side side) const {
    const auto& direction = side == Side::client ? client_ : server_;
    const auto& packets = side == Side::client ? from_client_ : from_server_;
    if (!direction.buffered.empty())
        return direction.buffered.size() < tds::kPacketHeaderBytes ? "inside a packet's header"
                                                                   : "inside a packet";
    if (side == Side::server && tokens_.is_inside_token()) return "inside a token, between two packets";
    return packets.is_inside_message() ? "between two packets of a message" : "";
}

class TdsLanguage final : public Language {
public:
    std::unique_ptr<Dialect> begin(ConnectionId connection, Memory& memory,
                                   Listener& listener) const override {
        return std::make_unique<Tds>(connection, memory, listener);
    }
    std::string renamed(std::string_view message, std::string_view id, std::string_view key) const override {
        try {
            tds::PacketReader packets;
            packets.set_max_packet_size(tds::kMaxPacketBytes);
            std::string payload;
            std::size_t max_packet_bytes = tds::kMinPacketBytes;
            while (const auto packet_info = packets.next(message)) {
                payload.append(packet_info->payload);
                max_packet_bytes = std::max(max_packet_bytes, packet_info->size);
                message.remove_prefix(packet_info->size);
            }
            if (!message.empty() || packets.is_inside_message())
                throw std::invalid_argument("not a request with an id");
            const bool is_batch = packets.type() == tds::PacketType::batch;
            auto request = is_batch ? tds::read_batch(payload) : tds::read_rpc(payload);
            request.statement = renamed_statement(request.statement, id, key);
            std::string out;
            tds::PacketWriter writer(out);
            // The recorded packets were within the negotiated packet size, so no packet may be larger.
            writer.set_packet_size(max_packet_bytes);
            writer.message(packets.type(),
                           is_batch ? tds::build_batch(request.statement) : tds::build_rpc(request));
            return out;
        } catch (const tds::ProtocolError& error) {
            throw std::invalid_argument(error.what());
        }
    }
};

}  // namespace

const Language& tds() {
    static const TdsLanguage language;
    return language;
}

}  // namespace sloestack::conversation
