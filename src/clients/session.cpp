#include "clients/session.h"

#include <algorithm>

#include "pgwire/build.h"
#include "pgwire/statement.h"

namespace sloestack::clients {
namespace {

using pgwire::Builder;

constexpr std::size_t kMostUnread = pgwire::kLargestMessage + 1024;
constexpr std::size_t kMostUnwritten = pgwire::kLargestMessage;
constexpr Micros kStartupTime = 30'000'000;  // a client that has not said a word by then is let go
constexpr Micros kFlushTime = 5'000'000;     // a client that does not take its last bytes by then, too
constexpr Micros kHalfClosedLook = 2'000;
constexpr Micros kBusyAdvice = 1'000'000;

std::uint64_t hash(std::string_view text) {
    std::uint64_t out = 14695981039346656037u;  // FNV-1a; never 0, which stands for no session
    for (const unsigned char c : text) out = (out ^ c) * 1099511628211u;
    return out ? out : 1;
}

std::int64_t milliseconds(Micros time) { return (time + 999) / 1000; }

}  // namespace

Session::Session(Office& office, SessionOwner& owner, evutil_socket_t fd, net::Slot slot, bool turned_away)
    : office_(office), owner_(owner), slot_(std::move(slot)), turned_away_(turned_away) {
    connection_ = net::Connection::accepted(office_.loop, fd, kMostUnread, *this);
    deadline_.set(office_.deadlines, office_.deadlines.now() + kStartupTime, [this] { close(); });
}

Session::~Session() {
    if (request_) office_.desk.withdraw(request_);
}

bool Session::between_requests() const {
    return state_ == State::open && !request_ && connection_->unread().empty() && connection_->quiet();
}

// ---- reading ----
void Session::received() {
    read_at_ = office_.deadlines.now();
    read_all();
}

void Session::drained() {
    if (state_ == State::finishing) return close();
    read_all();
}

void Session::read_all() {
    if (reading_) return;  // an answer given while reading: the loop below goes on
    reading_ = true;
    try {
        while (read_one()) {
        }
    } catch (const pgwire::BadMessage& error) {
        if (state_ == State::startup || state_ == State::open)
            end_with(pgwire::code::kProtocolViolation, error.what());
    }
    reading_ = false;
    if (input_over_ && !request_ && state_ != State::closed) finish();
}

bool Session::read_one() {
    if (request_ || (state_ != State::startup && state_ != State::open)) return false;
    if (connection_->unwritten() > kMostUnwritten) return false;  // goes on once drained
    const auto bytes = connection_->unread();
    const auto m = state_ == State::startup ? pgwire::next_startup(bytes) : pgwire::next_message(bytes);
    if (!m) return false;
    owner_.used(*this);
    // Handled before the bytes are let go: the message stands in them.
    if (state_ == State::startup)
        start_up(m->body);
    else
        message(*m);
    if (state_ == State::closed) return false;
    connection_->consume(m->size);
    return true;
}

void Session::start_up(std::string_view body) {
    const auto asked = pgwire::read_startup(body);
    if (asked.kind == pgwire::Startup::encryption) return reply("N");
    if (asked.kind == pgwire::Startup::cancel)
        return close();  // queries here cannot be cancelled from outside
    deadline_.clear();
    state_ = State::open;
    std::string out;
    Builder build(out);
    if (asked.minor > 0) build.negotiate_minor();
    build.authentication_ok()
        .parameter("server_version", "15.0 (sloestack)")
        .parameter("server_encoding", "UTF8")
        .parameter("client_encoding", "UTF8")
        .parameter("standard_conforming_strings", "on")
        .backend_key(0, 0)
        .ready();
    reply(out);
}

void Session::message(const pgwire::Message& m) {
    if (skip_to_sync_ && m.type != 'S' && m.type != 'X') return;
    switch (m.type) {
        case 'Q': {
            pgwire::Fields in(m.body);
            const auto statement = in.text();
            if (!in.empty()) throw pgwire::BadMessage("a query with bytes behind its end");
            return query(statement);
        }
        case 'X':
            return finish();
        case 'S': {
            skip_to_sync_ = false;
            std::string out;
            Builder(out).ready();
            return reply(out);
        }
        case 'H':
            return;
        case 'P':
        case 'B':
        case 'D':
        case 'E':
        case 'C':
        case 'F': {
            skip_to_sync_ = m.type != 'F';
            std::string out;
            Builder build(out);
            build.error("ERROR", pgwire::code::kNotSupported, "only simple queries are served here");
            if (m.type == 'F') build.ready();
            return reply(out);
        }
        default:
            throw pgwire::BadMessage("a message of an unknown type");
    }
}

void Session::query(std::string_view statement) {
    std::string out;
    if (pgwire::is_blank(statement)) {
        // The front takes this for readiness.
        if (!office_.desk.able_to_serve())
            return say_error(pgwire::code::kCannotConnectNow, "no member is known yet");
        Builder(out).empty_query().ready();
        return reply(out);
    }
    if (turned_away_) return refused(kBusyAdvice);
    traffic::Request request;
    auto& a = request.arrival;
    auto kept = std::make_shared<traffic::Statement>();
    kept->text = statement;
    try {
        const auto tags = pgwire::read_tags(kept->text);
        const auto& names = office_.class_names;
        const auto klass = std::find(names.begin(), names.end(), tags.klass);
        if (klass == names.end())
            return say_error(pgwire::code::kInvalidParameter, "unknown class " + std::string(tags.klass));
        if (!office_.desk.knows_group(tags.cluster)) {
            Builder(out)
                .error("ERROR", pgwire::code::kCannotConnectNow, "no member of this cluster is known",
                       milliseconds(kBusyAdvice))
                .ready();
            return reply(out);
        }
        kept->left_at = tags.left_at, kept->left_size = tags.left_size;
        a.klass = static_cast<int>(klass - names.begin());
        a.group = tags.cluster;
        a.not_after = read_at_ + tags.left_ms * 1000;
        a.repeat = tags.repeat;
        if (office_.sessions_named) a.session = hash(tags.quoted);
        if (tags.after_ms && *tags.after_ms > 0)
            a.last_write_age_us = std::max<Micros>(1, read_at_ - *tags.after_ms * 1000);
    } catch (const pgwire::BadMessage& error) {
        return say_error(pgwire::code::kInvalidParameter, error.what());
    }
    request.statement = std::move(kept);
    request_ = office_.desk.take(std::move(request), *this);
}

// ---- the end ----
// An end of input alone does not tell a client that has left from one that has only finished asking. Whoever
// has left answers a byte with a reset; whoever still reads skips a notice.
void Session::ended(net::Ending how) {
    if (how == net::Ending::broken) return close();
    input_over_ = true;
    read_all();
    if (!request_ || state_ == State::closed) return;
    std::string out;
    Builder(out).notice("input has ended; the answer still comes");
    reply(out);
    deadline_.set(office_.deadlines, office_.deadlines.now() + kHalfClosedLook,
                  [this] { look_at_half_closed(); });
}

void Session::look_at_half_closed() {
    if (!connection_->healthy()) close();
}

void Session::finish() {
    if (state_ == State::closed || state_ == State::finishing) return;
    state_ = State::finishing;
    if (connection_->unwritten() == 0) return close();
    deadline_.set(office_.deadlines, office_.deadlines.now() + kFlushTime, [this] { close(); });
}

void Session::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    deadline_.clear();
    if (request_) office_.desk.withdraw(std::exchange(request_, 0));
    connection_.reset();
    slot_ = net::Slot();
    owner_.over(*this);
}

// ---- answering ----
void Session::reply(const std::string& bytes) { connection_->write(bytes); }

void Session::say_error(std::string_view sqlstate, std::string_view what) {
    std::string out;
    Builder(out).error("ERROR", sqlstate, what).ready();
    reply(out);
}

void Session::end_with(std::string_view sqlstate, std::string_view what) {
    std::string out;
    Builder(out).error("FATAL", sqlstate, what);
    reply(out);
    finish();
}

void Session::answered(const std::string& bytes) {
    request_ = 0;
    reply(bytes);
    // A stopping proxy ends connections between requests only: guards against losing a query that was sent
    // right behind the one just answered.
    if (turned_away_ || (office_.closing && between_requests())) return finish();
    read_all();
}

void Session::served(const traffic::Value& value) {
    std::string out;
    out.reserve(value.bytes.size() + 128);
    const auto row = value.null ? std::nullopt : std::optional<std::string_view>(value.bytes);
    Builder(out)
        .row_description(value.column, value.type, value.binary)
        .data_row(row)
        .complete(value.tag)
        .ready();
    answered(out);
}

void Session::refused(Micros retry_after) {
    std::string out;
    Builder(out)
        .error("ERROR", pgwire::code::kTooManyConnections, "not now", milliseconds(retry_after))
        .ready();
    answered(out);
}

void Session::failed() {
    std::string out;
    Builder(out).error("ERROR", pgwire::code::kSystemError, "no member has answered in time").ready();
    answered(out);
}

}  // namespace sloestack::clients
