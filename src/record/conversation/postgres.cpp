// The dialect of PostgreSQL's protocol 3.0. Uses the proxy's framing and its parser of statement comments.
#include <stdexcept>
#include <utility>

#include "conversation/dialect_base.h"
#include "pgwire/build.h"
#include "pgwire/frame.h"
#include "pgwire/statement.h"

namespace sloestack::conversation {
namespace {

constexpr std::size_t kMaxDataRowBytes = pgwire::kMaxStatementBytes;

std::size_t max_bytes_from_client(char type) {
    switch (type) {
        case 'Q':
            return pgwire::kMaxStatementBytes;
        case 'X':
            return 4;
        default:
            return 0;
    }
}
std::size_t max_bytes_from_server(char type) {
    if (type == 'D') return kMaxDataRowBytes;
    return std::string_view("RSKNEZTCIv").find(type) == std::string_view::npos
               ? 0
               : pgwire::kMaxBufferedMessageBytes;
}

class Postgres final : public DialectBase {
public:
    using DialectBase::DialectBase;

private:
    std::size_t read_message(Side from, std::string_view bytes, Time at) override {
        if (bytes.empty()) return 0;
        return from == Side::client ? client_message(bytes, at) : server_message(bytes, at);
    }
    void finish_read(Side from) override {
        if (from == Side::server) hash_rest();
    }
    std::string place_in_message(Side side) const override;
    std::size_t client_message(std::string_view bytes, Time at);
    std::size_t server_message(std::string_view bytes, Time at);
    void query(const pgwire::Message& m, std::string_view message_bytes, Time at);
    void read_response_message(const pgwire::Message& m);
    void hash_rest() { hash(std::exchange(unhashed_, {})); }
    Digest digest() override;
    void finish_response(Time at);

    std::string startup_message_;
    bool has_startup_ = false, is_encryption_requested_ = false;
    std::string_view unhashed_;  // part of the response, not hashed yet; valid only during one read()
};

std::size_t Postgres::client_message(std::string_view bytes, Time at) {
    if (!has_startup_) {
        const auto m = pgwire::next_startup(bytes);
        if (!m) return 0;
        const auto startup = pgwire::read_startup(m->body);
        if (startup.kind == pgwire::StartupKind::cancel) throw pgwire::ProtocolError("a cancel request");
        // The server responds to an encryption request with one byte before the session begins.
        if (startup.kind == pgwire::StartupKind::encryption) is_encryption_requested_ = true;
        if (startup.kind == pgwire::StartupKind::session) {
            has_startup_ = true;
            startup_message_.assign(bytes.substr(0, m->size));
            listener_.opened({connection_, at, startup_message_});
        }
        return m->size;
    }
    const auto m = pgwire::next_message(bytes, max_bytes_from_client);
    if (!m) return 0;
    if (m->type == 'Q') query(*m, bytes.substr(0, m->size), at);
    return m->size;
}

void Postgres::query(const pgwire::Message& m, std::string_view message_bytes, Time at) {
    pgwire::FieldReader in(m.body);
    const auto statement = in.text();
    if (!in.empty()) throw pgwire::ProtocolError("a Query message with trailing bytes");
    RequestEvent out;
    out.connection = connection_;
    out.at = at;
    out.ahead = !unanswered_.empty() || !greeted_;
    out.bytes = message_bytes;
    if (!pgwire::is_blank(statement)) read_comment(statement, out);
    out.number = add_request();
    listener_.asked(out);
}

std::size_t Postgres::server_message(std::string_view bytes, Time at) {
    if (is_encryption_requested_ && !greeted_ && (bytes[0] == 'N')) {
        // 'N' is also the type of NoticeResponse, but after an encryption request it is the one-byte refusal.
        is_encryption_requested_ = false;
        return 1;
    }
    const auto size =
        pgwire::next_message_size(bytes.substr(0, pgwire::kMessageHeaderBytes), max_bytes_from_server);
    if (!size) return 0;
    if (*size > pgwire::kMaxBufferedMessageBytes) {
        if (bytes[0] != 'D') throw pgwire::ProtocolError("a message of " + std::to_string(*size) + " bytes");
        response_.kind = Kind::served;
        server_.streamed_bytes = *size;
        return 0;
    }
    if (bytes.size() < *size) return 0;
    const pgwire::Message m{
        bytes[0], bytes.substr(pgwire::kMessageHeaderBytes, *size - pgwire::kMessageHeaderBytes), *size};
    // BackendKeyData is random for each connection and is left out of the greeting's digest.
    if (!greeted_ && m.type == 'K') return hash_rest(), *size;
    // Adjacent messages are hashed together.
    if (unhashed_.empty())
        unhashed_ = bytes.substr(0, *size);
    else
        unhashed_ = {unhashed_.data(), unhashed_.size() + *size};
    read_response_message(m);
    if (m.type == 'Z') finish_response(at);
    return *size;
}

void Postgres::read_response_message(const pgwire::Message& m) {
    switch (m.type) {
        case 'D':
        case 'C':
            if (response_.kind == Kind::none) response_.kind = Kind::served;
            return;
        case 'I':
            response_.kind = Kind::empty;
            return;
        case 'E': {
            pgwire::FieldReader in(m.body);
            while (!in.empty()) {
                const auto field = in.byte();
                if (field == 0) break;
                const auto value = in.text();
                if (field == 'C') response_.code = value;
                if (field == 'D' && !value.empty() && value.size() < 10 &&
                    value.find_first_not_of("0123456789") == std::string_view::npos)
                    response_.advice = std::stoll(std::string(value)) * 1000;
            }
            const bool is_rejected = response_.code == pgwire::code::kTooManyConnections ||
                                     response_.code == pgwire::code::kCannotConnectNow;
            response_.kind = is_rejected ? Kind::refused : Kind::failed;
            return;
        }
        default:
            return;
    }
}

// Hashes a response that is contiguous in memory in one step.
Digest Postgres::digest() {
    if (hashed_bytes_ == 0) return digest_of(std::exchange(unhashed_, {}));
    hash_rest();
    return DialectBase::digest();
}

void Postgres::finish_response(Time at) {
    if (!greeted_) {
        greeted_ = true;
        response_ = {};
        return listener_.greeted(connection_, at, digest());
    }
    if (!unanswered_.empty()) return report_response(at, true);
    if (!client_.cut) throw pgwire::ProtocolError("a response without a request");
    unhashed_ = {};
    cut(Side::server, "responses to requests that could not be read");
}

std::string Postgres::place_in_message(Side side) const {
    const auto& direction = side == Side::client ? client_ : server_;
    if (direction.streamed_bytes > 0)
        return "inside a large value, " + std::to_string(direction.streamed_bytes) + " bytes short";
    if (direction.buffered.empty()) return {};
    const std::size_t header_bytes = side == Side::server || has_startup_ ? 5 : 4;
    return direction.buffered.size() < header_bytes ? "inside a length word" : "inside a message";
}

class PostgresLanguage final : public Language {
public:
    std::unique_ptr<Dialect> begin(ConnectionId connection, Memory& memory,
                                   Listener& listener) const override {
        return std::make_unique<Postgres>(connection, memory, listener);
    }
    std::string renamed(std::string_view message, std::string_view id, std::string_view key) const override {
        try {
            const auto m = pgwire::next_message(message);
            if (!m || m->type != 'Q' || m->size != message.size())
                throw std::invalid_argument("not a request with an id");
            const auto statement = pgwire::FieldReader(m->body).text();
            std::string out;
            pgwire::Builder(out).query(renamed_statement(statement, id, key));
            return out;
        } catch (const pgwire::ProtocolError& error) {
            throw std::invalid_argument(error.what());
        }
    }
};

}  // namespace

const Language& postgres() {
    static const PostgresLanguage language;
    return language;
}

}  // namespace sloestack::conversation
