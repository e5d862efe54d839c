// PostgreSQL's protocol 3.0 as a recorded dialect: the same framing and the same comment parser as the
// proxy's.
#include <stdexcept>
#include <utility>

#include "conversation/reading.h"
#include "pgwire/build.h"
#include "pgwire/frame.h"
#include "pgwire/statement.h"

namespace sloestack::conversation {
namespace {

constexpr std::size_t kAnyMessage = pgwire::kMaxStatementBytes;

std::size_t longest_from_client(char type) {
    switch (type) {
        case 'Q':
            return pgwire::kMaxStatementBytes;
        case 'X':
            return 4;
        default:
            return 0;
    }
}
std::size_t longest_from_server(char type) {
    if (type == 'D') return kAnyMessage;
    return std::string_view("RSKNEZTCIv").find(type) == std::string_view::npos
               ? 0
               : pgwire::kMaxBufferedMessageBytes;
}

class Postgres final : public Reading {
public:
    using Reading::Reading;

private:
    std::size_t one(Side from, std::string_view bytes, Time at) override {
        if (bytes.empty()) return 0;
        return from == Side::client ? client_message(bytes, at) : server_message(bytes, at);
    }
    void read_up(Side from) override {
        if (from == Side::server) hash_rest();
    }
    std::string unfinished(Side side) const override;
    std::size_t client_message(std::string_view bytes, Time at);
    std::size_t server_message(std::string_view bytes, Time at);
    void query(const pgwire::Message& m, std::string_view whole, Time at);
    void answer_part(const pgwire::Message& m);
    void hash_rest() { hash(std::exchange(unhashed_, {})); }
    Digest digest() override;
    void finish_answer(Time at);

    std::string opening_;
    bool started_ = false, declined_ = false;
    std::string_view unhashed_;  // of the answer, where it stands; good during one read()
};

std::size_t Postgres::client_message(std::string_view bytes, Time at) {
    if (!started_) {
        const auto m = pgwire::next_startup(bytes);
        if (!m) return 0;
        const auto asked = pgwire::read_startup(m->body);
        if (asked.kind == pgwire::StartupKind::cancel) throw pgwire::ProtocolError("a cancel request");
        // A request for encryption is answered by one byte before the session begins.
        if (asked.kind == pgwire::StartupKind::encryption) declined_ = true;
        if (asked.kind == pgwire::StartupKind::session) {
            started_ = true;
            opening_.assign(bytes.substr(0, m->size));
            to_.opened({connection_, at, opening_});
        }
        return m->size;
    }
    const auto m = pgwire::next_message(bytes, longest_from_client);
    if (!m) return 0;
    if (m->type == 'Q') query(*m, bytes.substr(0, m->size), at);
    return m->size;
}

void Postgres::query(const pgwire::Message& m, std::string_view whole, Time at) {
    pgwire::FieldReader in(m.body);
    const auto statement = in.text();
    if (!in.empty()) throw pgwire::ProtocolError("a query with bytes behind its end");
    RequestEvent out;
    out.connection = connection_;
    out.at = at;
    out.ahead = !open_.empty() || !greeted_;
    out.bytes = whole;
    if (!pgwire::is_blank(statement)) read_comment(statement, out);
    out.number = ask();
    to_.asked(out);
}

std::size_t Postgres::server_message(std::string_view bytes, Time at) {
    if (declined_ && !greeted_ && (bytes[0] == 'N')) {
        // 'N' also begins a notice, which is longer; before the greeting only the byte alone can come.
        declined_ = false;
        return 1;
    }
    const auto size =
        pgwire::next_message_size(bytes.substr(0, pgwire::kMessageHeaderBytes), longest_from_server);
    if (!size) return 0;
    if (*size > pgwire::kMaxBufferedMessageBytes) {
        if (bytes[0] != 'D') throw pgwire::ProtocolError("a message of " + std::to_string(*size) + " bytes");
        said_.kind = Kind::served;
        server_.passing = *size;
        return 0;
    }
    if (bytes.size() < *size) return 0;
    const pgwire::Message m{
        bytes[0], bytes.substr(pgwire::kMessageHeaderBytes, *size - pgwire::kMessageHeaderBytes), *size};
    // A greeting's key to cancel by is drawn anew for each connection: it tells nothing of what was said.
    if (!greeted_ && m.type == 'K') return hash_rest(), *size;
    // What stands in one piece is hashed in one go, at its end.
    if (unhashed_.empty())
        unhashed_ = bytes.substr(0, *size);
    else
        unhashed_ = {unhashed_.data(), unhashed_.size() + *size};
    answer_part(m);
    if (m.type == 'Z') finish_answer(at);
    return *size;
}

void Postgres::answer_part(const pgwire::Message& m) {
    switch (m.type) {
        case 'D':
        case 'C':
            if (said_.kind == Kind::none) said_.kind = Kind::served;
            return;
        case 'I':
            said_.kind = Kind::empty;
            return;
        case 'E': {
            pgwire::FieldReader in(m.body);
            while (!in.empty()) {
                const auto field = in.byte();
                if (field == 0) break;
                const auto value = in.text();
                if (field == 'C') said_.code = value;
                if (field == 'D' && !value.empty() && value.size() < 10 &&
                    value.find_first_not_of("0123456789") == std::string_view::npos)
                    said_.advice = std::stoll(std::string(value)) * 1000;
            }
            const bool refused = said_.code == pgwire::code::kTooManyConnections ||
                                 said_.code == pgwire::code::kCannotConnectNow;
            said_.kind = refused ? Kind::refused : Kind::failed;
            return;
        }
        default:
            return;
    }
}

// An answer that stands in one piece is hashed in one go.
Digest Postgres::digest() {
    if (hashed_ == 0) return digest_of(std::exchange(unhashed_, {}));
    hash_rest();
    return Reading::digest();
}

void Postgres::finish_answer(Time at) {
    if (!greeted_) {
        greeted_ = true;
        said_ = {};
        return to_.greeted(connection_, at, digest());
    }
    if (!open_.empty()) return answer(at, true);
    if (!client_.cut) throw pgwire::ProtocolError("an answer that nobody asked for");
    unhashed_ = {};
    cut(Side::server, "answers to requests that cannot be read");
}

std::string Postgres::unfinished(Side side) const {
    const auto& of = side == Side::client ? client_ : server_;
    if (of.passing > 0) return "inside a large value, " + std::to_string(of.passing) + " bytes short";
    if (of.rest.empty()) return {};
    const std::size_t head = side == Side::server || started_ ? 5 : 4;
    return of.rest.size() < head ? "inside a length word" : "inside a message";
}

class PostgresLanguage final : public Language {
public:
    std::unique_ptr<Dialect> begin(ConnectionId connection, Memory& memory, Listener& to) const override {
        return std::make_unique<Postgres>(connection, memory, to);
    }
    std::string renamed(std::string_view message, std::string_view id, std::string_view key) const override {
        try {
            const auto m = pgwire::next_message(message);
            if (!m || m->type != 'Q' || m->size != message.size())
                throw std::invalid_argument("no request with an id");
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
