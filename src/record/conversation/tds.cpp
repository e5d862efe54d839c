// TDS as a recorded dialect. An answer's digest is over the payloads of its packets, since where packets end
// is the size that was agreed on and no part of the answer.
#include <stdexcept>

#include "conversation/reading.h"
#include "tds/login.h"
#include "tds/request.h"
#include "tds/token.h"

namespace sloestack::conversation {
namespace {

// Errors that stand for a refusal: trying again is harmless (docs/design/tds.md).
constexpr std::int32_t kBusy = 40501, kTooManyConnections = 10928;
constexpr std::string_view kAdvice = "come again after ";  // and milliseconds, in the text of a refusal
constexpr std::uint8_t kLeastError = 11;                   // severity; below it is information
// A statement in UTF-16, its parameters and headers.
constexpr std::size_t kMostMessage = 2 * tds::kMaxParameterBytes + 64 * 1024;

class Tds final : public Reading, private tds::TokenEvents {
public:
    Tds(ConnectionId connection, Memory& memory, Listener& to)
        : Reading(connection, memory, to), tokens_(static_cast<tds::TokenEvents&>(*this)) {
        // What the two agree on is learned from the answer; nothing here is longer than the protocol allows.
        from_client_.set_max_packet_size(tds::kMaxPacketBytes);
        from_server_.set_max_packet_size(tds::kMaxPacketBytes);
    }
    ~Tds() override { let_go(); }

private:
    std::size_t one(Side from, std::string_view bytes, Time at) override;
    std::string unfinished(Side side) const override;
    void dropped(Side side) override {
        if (side == Side::client) let_go();
    }
    void client_part(const tds::Packet& part, std::string_view packet, Time at);
    void server_part(const tds::Packet& part, Time at);
    void request(Time at);
    void hold(std::string_view packet, std::string_view payload);
    void let_go() {
        memory_.held -= raw_.size() + message_.size();
        raw_.clear();
        message_.clear();
    }

    // Of an answer
    void columns(const std::vector<tds::Column>&) override {}
    void row() override { said_.kind = said_.kind == Kind::none ? Kind::served : said_.kind; }
    void value(std::size_t, std::optional<std::string_view>) override {}
    void begin_value(std::size_t, std::optional<std::uint64_t>) override {}
    void value_chunk(std::string_view) override {}
    void end_value() override {}
    void error(const tds::ErrorOrInfo& notice) override;
    void done(const tds::Done& done) override {
        if (done.status & tds::done::attention) called_off_ = true;
        if (said_.kind == Kind::none) said_.kind = Kind::served;
    }

    tds::PacketReader from_client_, from_server_;
    tds::TokenReader tokens_;
    std::string raw_, message_;  // of the client's message that is coming: its packets, and their payloads
    std::string opening_;
    bool prelogin_asked_ = false, login_asked_ = false;
    int attentions_ = 0;       // not acknowledged yet
    bool called_off_ = false;  // the message that is coming acknowledges one
};

std::size_t Tds::one(Side from, std::string_view bytes, Time at) {
    const auto part = (from == Side::client ? from_client_ : from_server_).next(bytes);
    if (!part) return 0;
    if (from == Side::client)
        client_part(*part, bytes.substr(0, part->size), at);
    else
        server_part(*part, at);
    return part->size;
}

void Tds::hold(std::string_view packet, std::string_view payload) {
    if (message_.size() + payload.size() > kMostMessage ||
        memory_.held + packet.size() + payload.size() > memory_.most)
        throw tds::ProtocolError("a message longer than may be held");
    raw_.append(packet);
    message_.append(payload);
    memory_.held += packet.size() + payload.size();
}

void Tds::client_part(const tds::Packet& part, std::string_view packet, Time at) {
    if (part.type == tds::PacketType::attention) {
        if (!greeted_) throw tds::ProtocolError("an attention before the login");
        ++attentions_;
        return;
    }
    if (part.type == tds::PacketType::result) throw tds::ProtocolError("an answer from the client");
    hold(packet, part.payload);
    if (!part.is_last) return;
    if (part.is_ignored) return let_go();  // called off before it was whole: nobody answers it
    if (part.type == tds::PacketType::prelogin) {
        tds::read_prelogin(message_);
        prelogin_asked_ = true;
        opening_ += raw_;
    } else if (part.type == tds::PacketType::login) {
        tds::read_login(message_);
        login_asked_ = true;
        opening_ += raw_;
        to_.opened({connection_, at, opening_});
    } else {
        if (!login_asked_) throw tds::ProtocolError("a request before the login");
        message_.size() ? request(at) : void();
    }
    let_go();
}

void Tds::request(Time at) {
    const bool batch = from_client_.type() == tds::PacketType::batch;
    const auto read = batch ? tds::read_batch(message_) : tds::read_rpc(message_);
    RequestEvent out;
    out.connection = connection_;
    out.at = at;
    out.ahead = !open_.empty() || !greeted_;
    out.bytes = raw_;
    read_comment(read.statement, out);
    out.number = ask();
    to_.asked(out);
}

void Tds::error(const tds::ErrorOrInfo& notice) {
    if (notice.severity < kLeastError) return;
    said_.code = std::to_string(notice.number);
    said_.kind =
        notice.number == kBusy || notice.number == kTooManyConnections ? Kind::refused : Kind::failed;
    const auto from = notice.text.find(kAdvice);
    if (from == std::string::npos) return;
    const auto digits = notice.text.substr(from + kAdvice.size(), 9);
    if (!digits.empty() && digits[0] >= '0' && digits[0] <= '9') said_.advice = std::stoll(digits) * 1000;
}

void Tds::server_part(const tds::Packet& part, Time at) {
    if (part.type != tds::PacketType::result) throw tds::ProtocolError("a server's packet that is no answer");
    if (prelogin_asked_) {
        hash(part.payload);
        if (part.is_last) prelogin_asked_ = false;
        return;
    }
    tokens_.read(part.payload);
    hash(part.payload);
    if (!part.is_last) return;
    if (tokens_.is_inside_token()) throw tds::ProtocolError("an answer that ends within a token");
    if (!greeted_) {
        if (!login_asked_) throw tds::ProtocolError("an answer that nobody asked for");
        said_ = {};
        called_off_ = false;
        greeted_ = true;
        return to_.greeted(connection_, at, digest());
    }
    if (std::exchange(called_off_, false)) {
        // One acknowledgement for each attention; where the answer had left before it, it stands alone.
        if (attentions_-- == 0) throw tds::ProtocolError("an acknowledgement of no attention");
        if (open_.empty()) {
            said_ = {};
            digest();
            return;
        }
        said_.kind = Kind::called_off;
    }
    if (!open_.empty()) return answer(at, true);
    if (!client_.cut) throw tds::ProtocolError("an answer that nobody asked for");
    cut(Side::server, "answers to requests that cannot be read");
}

std::string Tds::unfinished(Side side) const {
    const auto& of = side == Side::client ? client_ : server_;
    const auto& packets = side == Side::client ? from_client_ : from_server_;
    if (!of.rest.empty())
        return of.rest.size() < tds::kPacketHeaderBytes ? "inside a packet's header" : "inside a packet";
    if (side == Side::server && tokens_.is_inside_token()) return "inside a token, between two packets";
    return packets.is_inside_message() ? "between two packets of a message" : "";
}

class TdsLanguage final : public Language {
public:
    std::unique_ptr<Dialect> begin(ConnectionId connection, Memory& memory, Listener& to) const override {
        return std::make_unique<Tds>(connection, memory, to);
    }
    std::string renamed(std::string_view message, std::string_view id, std::string_view key) const override {
        try {
            tds::PacketReader packets;
            packets.set_max_packet_size(tds::kMaxPacketBytes);
            std::string payload;
            std::size_t longest = tds::kMinPacketBytes;
            while (const auto part = packets.next(message)) {
                payload.append(part->payload);
                longest = std::max(longest, part->size);
                message.remove_prefix(part->size);
            }
            if (!message.empty() || packets.is_inside_message())
                throw std::invalid_argument("no request with an id");
            const bool batch = packets.type() == tds::PacketType::batch;
            auto request = batch ? tds::read_batch(payload) : tds::read_rpc(payload);
            request.statement = renamed_statement(request.statement, id, key);
            std::string out;
            tds::PacketWriter writer(out);
            // In packets no longer than those that were recorded: that size was agreed on.
            writer.set_packet_size(longest);
            writer.message(packets.type(),
                           batch ? tds::build_batch(request.statement) : tds::build_rpc(request));
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
