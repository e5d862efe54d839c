// PostgreSQL's protocol 3.0 as a recorded dialect: the same framing and the same comment parser as the
// proxy's.
#include <xxhash.h>

#include <deque>
#include <stdexcept>
#include <utility>

#include "conversation/conversation.h"
#include "pgwire/build.h"
#include "pgwire/frame.h"
#include "pgwire/statement.h"

namespace sloestack::conversation {
namespace {

constexpr std::size_t kAnyMessage = pgwire::kLargestStatement;

std::size_t longest_from_client(char type) {
    switch (type) {
        case 'Q':
            return pgwire::kLargestStatement;
        case 'X':
            return 4;
        default:
            return 0;
    }
}
std::size_t longest_from_server(char type) {
    if (type == 'D') return kAnyMessage;
    return std::string_view("RSKNEZTCIv").find(type) == std::string_view::npos ? 0 : pgwire::kLargestMessage;
}

struct FreeState {
    void operator()(XXH3_state_t* s) const { XXH3_freeState(s); }
};

class Postgres final : public Dialect {
public:
    Postgres(ConnectionId connection, Memory& memory, Listener& to)
        : connection_(connection), memory_(memory), to_(to), hash_(XXH3_createState()) {
        XXH3_128bits_reset(hash_.get());
    }
    ~Postgres() override {
        release(client_);
        release(server_);
    }
    void read(Side from, std::string_view bytes, Time at) override;
    void lost(Side from, Time at, const std::string& why) override;
    void over(Time at) override;
    bool greeted() const override { return greeted_; }
    std::size_t unanswered() const override { return open_.size(); }

private:
    struct Half {
        std::string rest;          // the beginning of a message that is not whole yet
        std::uint64_t offset = 0;  // of the next message
        std::size_t passing = 0;   // bytes still to come of a message too large to be gathered
        bool cut = false;
    };
    struct Open {
        std::uint32_t number = 0;
    };

    // One message off the front, 0 where it is not whole; throws BadMessage.
    std::size_t client_message(std::string_view bytes, Time at);
    std::size_t server_message(std::string_view bytes, Time at);
    void query(const pgwire::Message& m, std::string_view whole, Time at);
    void answer_part(const pgwire::Message& m);
    void hash(std::string_view bytes) {
        if (bytes.empty()) return;
        XXH3_128bits_update(hash_.get(), bytes.data(), bytes.size());
        hashed_ += bytes.size();
    }
    void hash_rest();
    Digest digest();
    void finish_answer(Time at, bool whole);
    void cut(Side side, const std::string& why);
    bool gather(Half& half, std::string_view bytes);
    void release(Half& half) {
        memory_.held -= half.rest.size();
        half.rest.clear();
    }
    std::string unfinished(const Half& half, bool begun) const;

    ConnectionId connection_;
    Memory& memory_;
    Listener& to_;
    Half client_, server_;
    std::string opening_;
    bool started_ = false, greeted_ = false, declined_ = false, over_ = false;
    std::deque<Open> open_;
    std::uint32_t asked_ = 0;
    // Of the answer that is coming
    std::unique_ptr<XXH3_state_t, FreeState> hash_;
    std::uint64_t hashed_ = 0;
    std::string_view unhashed_;  // of the answer, where it stands; good during one read()
    Kind kind_ = Kind::none;
    std::string code_;
    std::optional<Micros> advice_;
};

bool Postgres::gather(Half& half, std::string_view bytes) {
    if (memory_.held + bytes.size() > memory_.most) return false;
    half.rest.append(bytes);
    memory_.held += bytes.size();
    return true;
}

void Postgres::read(Side from, std::string_view bytes, Time at) {
    auto& half = from == Side::client ? client_ : server_;
    if (over_) return;
    while (!bytes.empty() && !half.cut) {
        if (half.passing > 0) {
            const auto part = bytes.substr(0, half.passing);
            hash(part);
            half.passing -= part.size();
            half.offset += part.size();
            bytes.remove_prefix(part.size());
            continue;
        }
        const bool gathered = !half.rest.empty();
        if (gathered) {
            if (!gather(half, bytes)) return cut(from, "more is not whole yet than may be held");
            bytes = {};
        }
        // What is whole is read where it stands; only the beginning of the next message is kept.
        std::string_view left = gathered ? std::string_view(half.rest) : bytes;
        std::size_t done = 0;
        try {
            while (!half.cut && half.passing == 0) {
                const auto size = from == Side::client ? client_message(left.substr(done), at)
                                                       : server_message(left.substr(done), at);
                if (size == 0) break;
                done += size;
                half.offset += size;
            }
        } catch (const pgwire::BadMessage& error) {
            unhashed_ = {};
            return cut(from, std::string("not of the protocol: ") + error.what());
        }
        if (from == Side::server) hash_rest();
        if (half.cut) return;
        if (gathered) {
            // What is behind a message that passes by belongs to it.
            const std::string behind = half.passing > 0 ? half.rest.substr(done) : std::string();
            memory_.held -= half.passing > 0 ? half.rest.size() : done;
            half.passing > 0 ? half.rest.clear() : void(half.rest.erase(0, done));
            if (!behind.empty()) read(from, behind, at);
            return;
        }
        bytes.remove_prefix(done);
        if (half.passing > 0 || bytes.empty()) continue;
        if (!gather(half, bytes)) cut(from, "more is not whole yet than may be held");
        return;
    }
}

std::size_t Postgres::client_message(std::string_view bytes, Time at) {
    if (bytes.empty()) return 0;
    if (!started_) {
        const auto m = pgwire::next_startup(bytes);
        if (!m) return 0;
        const auto asked = pgwire::read_startup(m->body);
        if (asked.kind == pgwire::Startup::cancel) throw pgwire::BadMessage("a cancel request");
        // A request for encryption is answered by one byte before the session begins.
        if (asked.kind == pgwire::Startup::encryption) declined_ = true;
        if (asked.kind == pgwire::Startup::session) {
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
    pgwire::Fields in(m.body);
    const auto statement = in.text();
    if (!in.empty()) throw pgwire::BadMessage("a query with bytes behind its end");
    Asked out;
    out.connection = connection_;
    out.number = asked_++;
    out.at = at;
    out.ahead = !open_.empty() || !greeted_;
    out.bytes = whole;
    if (!pgwire::is_blank(statement)) {
        // One without the comment is a request all the same: its answer is compared, its class is not known.
        try {
            const auto tags = pgwire::read_tags(statement);
            out.id = tags.id, out.klass = tags.klass, out.key = tags.key;
            out.left = tags.left_ms * 1000;
            out.group = tags.cluster;
            out.repeat = tags.repeat;
        } catch (const pgwire::BadMessage&) {
        }
    }
    open_.push_back({out.number});
    to_.asked(out);
}

std::size_t Postgres::server_message(std::string_view bytes, Time at) {
    if (bytes.empty()) return 0;
    if (declined_ && !greeted_ && (bytes[0] == 'N')) {
        // 'N' also begins a notice, which is longer; before the greeting only the byte alone can come.
        declined_ = false;
        return 1;
    }
    const auto size = pgwire::size_of_next(bytes.substr(0, pgwire::kHead), longest_from_server);
    if (!size) return 0;
    if (*size > pgwire::kLargestMessage) {
        if (bytes[0] != 'D') throw pgwire::BadMessage("a message of " + std::to_string(*size) + " bytes");
        kind_ = Kind::served;
        server_.passing = *size;
        return 0;
    }
    if (bytes.size() < *size) return 0;
    const pgwire::Message m{bytes[0], bytes.substr(pgwire::kHead, *size - pgwire::kHead), *size};
    // What stands in one piece is hashed in one go, at its end.
    if (unhashed_.empty())
        unhashed_ = bytes.substr(0, *size);
    else
        unhashed_ = {unhashed_.data(), unhashed_.size() + *size};
    answer_part(m);
    if (m.type == 'Z') finish_answer(at, true);
    return *size;
}

void Postgres::answer_part(const pgwire::Message& m) {
    switch (m.type) {
        case 'D':
        case 'C':
            if (kind_ == Kind::none) kind_ = Kind::served;
            return;
        case 'I':
            kind_ = Kind::empty;
            return;
        case 'E': {
            pgwire::Fields in(m.body);
            while (!in.empty()) {
                const auto field = in.byte();
                if (field == 0) break;
                const auto value = in.text();
                if (field == 'C') code_ = value;
                if (field == 'D' && !value.empty() && value.size() < 10 &&
                    value.find_first_not_of("0123456789") == std::string_view::npos)
                    advice_ = std::stoll(std::string(value)) * 1000;
            }
            const bool refused =
                code_ == pgwire::code::kTooManyConnections || code_ == pgwire::code::kCannotConnectNow;
            kind_ = refused ? Kind::refused : Kind::failed;
            return;
        }
        default:
            return;
    }
}

void Postgres::hash_rest() {
    hash(unhashed_);
    unhashed_ = {};
}

Digest Postgres::digest() {
    if (hashed_ == 0) return digest_of(std::exchange(unhashed_, {}));
    hash_rest();
    const auto hash = XXH3_128bits_digest(hash_.get());
    const Digest out{hash.low64, hash.high64, hashed_};
    XXH3_128bits_reset(hash_.get());
    hashed_ = 0;
    return out;
}

void Postgres::finish_answer(Time at, bool whole) {
    const auto found = digest();
    const auto kind = std::exchange(kind_, Kind::none);
    const auto code = std::exchange(code_, {});
    const auto advice = std::exchange(advice_, std::nullopt);
    if (!greeted_ && whole) {
        greeted_ = true;
        return to_.greeted(connection_, at, found);
    }
    if (open_.empty()) {
        if (!whole) return;
        if (!client_.cut) throw pgwire::BadMessage("an answer that nobody asked for");
        return cut(Side::server, "answers to requests that cannot be read");
    }
    const auto open = open_.front();
    open_.pop_front();
    // An error needs no more behind it where it is the last word.
    const bool told = whole || kind == Kind::refused || kind == Kind::failed;
    Answered out;
    out.connection = connection_;
    out.number = open.number;
    out.at = at;
    if (told) {
        out.kind = kind;
        out.code = code;
        out.advice = advice;
        out.digest = found;
    }
    to_.answered(out);
}

std::string Postgres::unfinished(const Half& half, bool begun) const {
    if (half.passing > 0) return "inside a large value, " + std::to_string(half.passing) + " bytes short";
    if (half.rest.empty()) return {};
    const std::size_t head = begun ? 5 : 4;
    if (half.rest.size() < head) return "inside a length word";
    return "inside a message";
}

void Postgres::cut(Side side, const std::string& why) {
    auto& half = side == Side::client ? client_ : server_;
    if (half.cut) return;
    half.cut = true;
    half.passing = 0;
    release(half);
    to_.cut({connection_, side, half.offset, why});
}

void Postgres::lost(Side from, Time, const std::string& why) {
    auto& half = from == Side::client ? client_ : server_;
    const auto part = unfinished(half, from == Side::server || started_);
    cut(from, part.empty() ? why : part + ": " + why);
}

void Postgres::over(Time at) {
    if (over_) return;
    for (const auto side : {Side::client, Side::server}) {
        auto& half = side == Side::client ? client_ : server_;
        const auto part = unfinished(half, side == Side::server || started_);
        if (!half.cut && !part.empty()) cut(side, part + ": the stream ends");
    }
    bool first = !server_.cut;
    while (!open_.empty()) {
        if (first && greeted_)
            finish_answer(at, false);
        else {
            const auto open = open_.front();
            open_.pop_front();
            to_.answered({connection_, open.number, at, Kind::none, {}, std::nullopt, {}});
        }
        first = false;
    }
    over_ = true;
    to_.closed(connection_, at);
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
            const auto statement = pgwire::Fields(m->body).text();
            const auto tags = pgwire::read_tags(statement);
            std::string text(statement);
            const auto put = [&](std::string_view old, std::string_view fresh) {
                text.replace(static_cast<std::size_t>(old.data() - statement.data()), old.size(), fresh);
            };
            // The later one first: the places are those in the old text.
            const bool key_later = tags.key.data() > tags.id.data();
            if (!tags.key.empty() && key_later) put(tags.key, key);
            put(tags.id, id);
            if (!tags.key.empty() && !key_later) put(tags.key, key);
            std::string out;
            pgwire::Builder(out).query(text);
            return out;
        } catch (const pgwire::BadMessage& error) {
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
