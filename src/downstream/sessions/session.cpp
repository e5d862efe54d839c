#include "sessions/session.h"

#include <algorithm>

#include "invariant/invariant.h"
#include "pgwire/build.h"
#include "pgwire/statement.h"

namespace sloestack::downstream {
namespace {

using pgwire::Builder;

// What a client may have sent ahead: its start-up packet, one whole message or a part of a large one, or a
// little behind an open request.
constexpr std::size_t kStartupUnread = pgwire::kLargestStartup + 1024;
constexpr std::size_t kMostUnread = pgwire::kLargestMessage + 1024;
constexpr std::size_t kBehindRequest = 8 * 1024;
constexpr std::size_t kMostUnwritten = pgwire::kLargestMessage;
constexpr std::size_t kFairShare = 16 * 1024;  // unread at one session, where all of them hold too much
constexpr int kMostAtOnce = 16;                // messages of one client in one turn
// Queries of one client that are open at once. Clients were seen to keep up to nine commands on their way;
// each takes a connection to a member, and members hold few.
constexpr std::size_t kMostOpen = 8;
constexpr std::size_t kWindow = 64 * 1024;   // of an answer in pieces, waiting for the client
constexpr Micros kFirstWord = 2'400'000;     // a client that has asked nothing by then is let go
constexpr Micros kWholeMessage = 2'200'000;  // from a message's first byte to its last: heads may take 2 s
constexpr Micros kNextPart = 2'200'000;      // from one part of a large statement to the next
constexpr Micros kLookForRoom = 5'000;
constexpr Micros kIdle = 10'000'000;         // a client that asks no more is let go; it may come again
constexpr Micros kTakesNothing = 5'000'000;  // a client that takes nothing of its answers for so long, too
constexpr Micros kLinger = 1'000'000;        // for a client to read its last answer and to close as well
constexpr Micros kAtTheDoor = 50'000;        // for a client to say its first word where others wait
constexpr Micros kFirstLook = 2'000;  // whether a client whose input ended has left: a round trip later ...
constexpr Micros kNextLook = 10'000;  // ... and again while it waits: a reset may come at any time
constexpr Micros kBusyAdvice = 1'000'000;

std::uint64_t hash(std::string_view text) {
    std::uint64_t out = 14695981039346656037u;  // FNV-1a; never 0, which stands for no session
    for (const unsigned char c : text) out = (out ^ c) * 1099511628211u;
    return out ? out : 1;
}

// The messages a client may send, and how long each may be.
std::size_t longest(char type) {
    switch (type) {
        case 'Q':
            return pgwire::kLargestStatement;
        case 'P':
        case 'B':
        case 'D':
        case 'E':
        case 'C':
        case 'F':
            return pgwire::kLargestMessage;
        case 'S':
        case 'H':
        case 'X':
            return 4;
        default:
            return 0;
    }
}

std::int64_t milliseconds(Micros time) { return (time + 999) / 1000; }

std::string refusal(Micros retry_after) {
    std::string out;
    Builder(out)
        .error("ERROR", pgwire::code::kTooManyConnections, "not now", milliseconds(retry_after))
        .ready();
    return out;
}

}  // namespace

CancelKey CancelKeys::add(Session& session) {
    const CancelKey key{++last_, static_cast<std::uint32_t>(random_())};
    sessions_[key.process] = {key.secret, &session};
    return key;
}

Session* CancelKeys::find(std::uint32_t process, std::uint32_t secret) const {
    const auto found = sessions_.find(process);
    return found != sessions_.end() && found->second.first == secret ? found->second.second : nullptr;
}

Session::Session(Office& office, SessionOwner& owner, evutil_socket_t fd, net::Slot slot, bool turned_away)
    : office_(office),
      owner_(owner),
      slot_(std::move(slot)),
      turned_away_(turned_away),
      came_at_(office.deadlines.now()) {
    connection_ = net::Connection::accepted(office_.loop, fd, kStartupUnread, *this, &office_.account);
    if (!connection_) return;
    key_ = office_.keys.add(*this);
    renew_limit();
}

Session::~Session() {
    office_.room.leave(this);
    office_.keys.remove(key_);
    withdraw_all();
}

bool Session::is_silent() const {
    return queries_.empty() && !large_ && connection_->held() == 0 && connection_->quiet();
}

bool Session::between_requests() const { return state_ == State::open && is_silent(); }

bool Session::rests() const { return between_requests() && connection_->unwritten() == 0; }

// One whose first words are still coming does not idle: guards those that write slowly.
bool Session::idles_at_the_door() const {
    if (ends()) return false;
    return !asked_ && office_.deadlines.now() - came_at_ > kAtTheDoor && is_silent();
}

// ---- reading ----
void Session::received() {
    if (state_ == State::finishing) return connection_->consume(connection_->held());
    read_at_ = office_.deadlines.now();
    arrivals_.came(connection_->taken() + connection_->held(), read_at_);
    read_all();
    if (input_is_held() && !look_.is_set()) look_whether_left(kNextLook);
    // Each session keeps within its own bound; this guards the memory against all of them at once.
    if (state_ == State::open && queries_.empty() && office_.account.over() &&
        connection_->held() > kFairShare)
        end_with(pgwire::code::kOutOfMemory, "too much is waiting to be read");
}

void Session::drained() {
    if (state_ == State::finishing) return linger();
    if (passes_on()) {
        queries_.front()->source->set_paused(false);
        return renew_limit();
    }
    read_all();
}

void Session::read_all() {
    if (reading_) return;  // an answer given while reading: the loop below goes on
    reading_ = true;
    try {
        int left = kMostAtOnce;
        while (left > 0 && read_one()) --left;
        // Guards the turn against one client that has hundreds of commands waiting.
        if (left == 0) go_on_.set(office_.deadlines, office_.deadlines.now(), [this] { read_all(); });
    } catch (const pgwire::BadMessage& error) {
        if (state_ == State::startup || state_ == State::open)
            end_with(pgwire::code::kProtocolViolation, error.what());
    }
    reading_ = false;
    if (input_over_ && queries_.empty() && !go_on_.is_set() && state_ != State::closed) finish();
    renew_limit();
}

bool Session::read_one() {
    if (state_ != State::startup && state_ != State::open) return false;
    if (connection_->unwritten() > kMostUnwritten) return false;  // goes on once drained
    if (!queries_.empty() && !next_overlaps()) return false;
    if (large_) return read_large(0);
    if (state_ == State::open) {
        const auto size = pgwire::size_of_next(connection_->unread(pgwire::kHead), longest);
        if (!size) return false;
        if (*size > pgwire::kLargestMessage) return read_large(*size);
        if (connection_->held() < *size) return false;
    }
    const auto bytes = connection_->unread();
    const auto m =
        state_ == State::startup ? pgwire::next_startup(bytes) : pgwire::next_message(bytes, longest);
    if (!m) return false;
    owner_.used(*this);
    begun_at_ = 0;
    asked_at_ = arrivals_.last_byte(connection_->taken() + m->size, read_at_);
    // Handled before the bytes are let go: the message stands in them.
    if (state_ == State::startup)
        start_up(m->body);
    else
        message(*m);
    if (state_ == State::closed) return false;
    connection_->consume(m->size);
    return true;
}

// PostgreSQL runs the queries of a connection one after the other. What may run beside those before it must
// not be told apart from that: it and they are reads. Anything else, and what is wrong, waits for its turn.
bool Session::next_overlaps() {
    if (large_ || skip_to_sync_ || queries_.size() >= kMostOpen || office_.account.over()) return false;
    const auto overlaps = [this](int request_class) {
        return request_class >= 0 && office_.class_overlaps[static_cast<std::size_t>(request_class)];
    };
    if (!overlaps(queries_.back()->request_class)) return false;  // then none before it is another
    try {
        const auto size = pgwire::size_of_next(connection_->unread(pgwire::kHead), longest);
        if (!size || *size > kBehindRequest || connection_->held() < *size) return false;
        const auto m = pgwire::next_message(connection_->unread(*size), longest);
        return m && m->type == 'Q' && overlaps(class_of(pgwire::Fields(m->body).text()));
    } catch (const pgwire::BadMessage&) {
        return false;
    }
}

// Its size is reserved before its body is read; until then it waits in the kernel.
bool Session::read_large(std::size_t size) {
    if (!large_) {
        auto room = office_.room.take(size, this);
        waits_for_room_ = !room;
        if (!room) {
            const auto now = office_.deadlines.now();
            go_on_.set(office_.deadlines, now + kLookForRoom, [this] { read_all(); });
            return false;
        }
        owner_.used(*this);
        connection_->consume(pgwire::kHead);
        large_ = Large{{}, size - pgwire::kHead, std::move(room)};
        large_->text.reserve(large_->left);
    }
    const auto before = large_->text.size();
    connection_->move_to(large_->text, large_->left);
    large_->left -= large_->text.size() - before;
    if (large_->left > 0) return false;
    auto whole = std::move(*large_);
    large_.reset();
    begun_at_ = 0;
    asked_at_ = arrivals_.last_byte(connection_->taken(), read_at_);
    if (whole.text.find('\0') != whole.text.size() - 1) throw pgwire::BadMessage("a query without its end");
    whole.text.pop_back();
    if (skip_to_sync_) return true;
    query(std::move(whole.text), std::move(whole.room));
    return state_ != State::closed;
}

// ---- limits ----
void Session::renew_limit() {
    if (state_ != State::startup && state_ != State::open) return;
    const Time now = office_.deadlines.now();
    const bool half = connection_->held() > 0 || large_;
    if (half && !begun_at_) begun_at_ = now;
    Time at = 0;
    if (connection_->unwritten() > 0) {
        // Only progress renews it: guards against a client that asks on and takes nothing.
        if (limit_.is_set() && connection_->sent() == taken_) return;
        taken_ = connection_->sent();
        at = now + kTakesNothing;
    } else if (!queries_.empty() || waits_for_room_)
        return limit_.clear();
    else if (large_)
        at = read_at_ + kNextPart;
    else if (state_ == State::startup || (!asked_ && !half))
        at = came_at_ + kFirstWord;
    else if (half)
        at = std::max(came_at_ + kFirstWord, begun_at_ + kWholeMessage);
    else
        at = std::max(read_at_, answered_at_) + kIdle;
    limit_.set(office_.deadlines, at, [this] { out_of_time(); });
}

void Session::out_of_time() {
    if (connection_->unwritten() > 0) {
        if (connection_->sent() == taken_) return close();  // takes nothing: there is no order to end in
        return renew_limit();
    }
    if (state_ == State::open && (connection_->held() > 0 || large_))
        return end_with(pgwire::code::kProtocolViolation, "a message without its end");
    // What waits in the kernel is about to be read: guards against closing as a request comes in.
    if (state_ == State::open && connection_->unwritten() == 0 && !between_requests()) return renew_limit();
    finish();
}

void Session::start_up(std::string_view body) {
    const auto asked = pgwire::read_startup(body);
    if (asked.kind == pgwire::Startup::encryption) return reply("N");
    if (asked.kind == pgwire::Startup::cancel) {
        // As PostgreSQL has it: nothing is answered here, and whoever it names hears of it where it waits.
        if (auto* other = office_.keys.find(asked.process, asked.secret)) other->cancel();
        return finish();
    }
    state_ = State::open;
    connection_->bound_unread(kMostUnread);
    std::string out;
    Builder build(out);
    if (asked.minor > 0) build.negotiate_minor();
    build.greeting(key_.process, key_.secret);
    reply(out);
}

void Session::message(const pgwire::Message& m) {
    if (skip_to_sync_ && m.type != 'S' && m.type != 'X') return;
    switch (m.type) {
        case 'Q': {
            pgwire::Fields in(m.body);
            const auto statement = in.text();
            if (!in.empty()) throw pgwire::BadMessage("a query with bytes behind its end");
            return query(std::string(statement));
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

void Session::query(std::string statement, std::shared_ptr<void> room) {
    asked_ = true;
    std::string out;
    if (pgwire::is_blank(statement)) {
        // The front takes this for readiness.
        if (!office_.dispatcher.has_ready_endpoints())
            return say_error(pgwire::code::kCannotConnectNow, "no member is known yet");
        Builder(out).empty_query().ready();
        return reply(out);
    }
    if (turned_away_) {
        refuse(class_of(statement), kBusyAdvice);
        return finish();
    }
    auto q = std::make_unique<Query>(*this);
    traffic::Request request;
    auto& a = request.arrival;
    auto kept = std::make_shared<traffic::Statement>();
    kept->text = std::move(statement);
    kept->memory_reservation = std::move(room);
    try {
        const auto tags = pgwire::read_tags(kept->text);
        const auto& names = office_.class_names;
        const auto request_class = std::find(names.begin(), names.end(), tags.request_class);
        if (request_class == names.end())
            return say_error(pgwire::code::kInvalidParameter,
                             "unknown class " + std::string(tags.request_class));
        q->request_class = static_cast<int>(request_class - names.begin());
        if (!office_.dispatcher.knows_replica_group(tags.cluster)) {
            office_.numbers.count_response(q->request_class, metrics::ResponseKind::rejected);
            Builder(out)
                .error("ERROR", pgwire::code::kCannotConnectNow, "no member of this cluster is known",
                       milliseconds(kBusyAdvice))
                .ready();
            return reply(out);
        }
        kept->time_left_offset = tags.left_at;
        kept->time_left_size = tags.left_size;
        a.request_class = q->request_class;
        a.replica_group = tags.cluster;
        // Its client counts from when it has sent it, also what it waits for the answers before it. Where
        // nothing is left of that, members turn it away as over; it is told at once, and what comes behind
        // it goes on.
        const Time now = office_.deadlines.now();
        a.deadline = asked_at_ + tags.left_ms * 1000;
        if (a.deadline <= now) {
            office_.numbers.count_unserved(q->request_class, decision::RejectionReason::deadline_exceeded);
            return refuse(q->request_class, 0);
        }
        a.is_retry = tags.repeat;
        if (office_.sessions_named) a.session = hash(tags.quoted);
        if (tags.after_ms && *tags.after_ms > 0)
            a.last_write_age_us = std::max<Micros>(1, now - *tags.after_ms * 1000);
        // Two requests of one name cannot be told apart by a member that drops repeats.
        if (!office_.open_ids.emplace(tags.id).second) {
            office_.numbers.count_response(q->request_class, metrics::ResponseKind::failed);
            return say_error(pgwire::code::kInvalidParameter, "a request of this id is open already");
        }
        q->id = tags.id;
    } catch (const pgwire::BadMessage& error) {
        return say_error(pgwire::code::kInvalidParameter, error.what());
    }
    request.statement = std::move(kept);
    connection_->bound_unread(kBehindRequest);
    queries_.push_back(std::move(q));
    auto& last = *queries_.back();
    last.request = office_.dispatcher.submit(std::move(request), last);
}

// The class it names, as far as that can be read; for the figures.
int Session::class_of(std::string_view statement) const {
    try {
        const auto& names = office_.class_names;
        const auto request_class =
            std::find(names.begin(), names.end(), pgwire::read_tags(statement).request_class);
        return request_class == names.end() ? -1 : static_cast<int>(request_class - names.begin());
    } catch (const pgwire::BadMessage&) {
        return -1;
    }
}

// It waits for nothing more; returns the number by which it did, 0 where it did not.
traffic::RequestId Session::let_go(Query& query) {
    if (!query.id.empty()) office_.open_ids.erase(query.id);
    query.id.clear();
    return std::exchange(query.request, 0);
}

void Session::withdraw(Query& query) {
    query.source = nullptr;
    if (const auto request = let_go(query)) office_.dispatcher.cancel_request(request);
}

void Session::withdraw_all() {
    for (auto& q : queries_) {
        take_kept(*q);
        withdraw(*q);
    }
    queries_.clear();
}

// Answers that wait count as bytes held for clients.
void Session::keep(Query& query, std::string bytes) {
    SLOESTACK_INVARIANT(query.kept.empty(), "a query has one answer");
    office_.account.add(bytes.size());
    query.kept = std::move(bytes);
}

std::string Session::take_kept(Query& query) {
    office_.account.remove(query.kept.size());
    return std::exchange(query.kept, {});
}

// ---- the end ----
// An end of input alone does not tell a client that has left from one that has only finished asking. Whoever
// has left answers a byte with a reset, sooner or later; whoever still reads skips a notice.
void Session::ended(net::Ending how) {
    if (how == net::Ending::broken) return close();
    input_over_ = true;
    if (state_ == State::finishing) return connection_->unwritten() > 0 ? void() : close();
    read_all();
    if (!queries_.empty() && state_ != State::closed) look_whether_left(kFirstLook);
}

// Input that waits behind an open request is not read: an end or a reset behind it shows by a look alone.
bool Session::input_is_held() const {
    return !queries_.empty() && state_ == State::open && connection_->held() >= kBehindRequest;
}

// Not amid an answer in pieces: nothing may stand between those, and who has left shows as they are written.
void Session::look_whether_left(Micros from_now) {
    if (passes_on()) return;
    if (!told_of_end_ && (input_over_ || connection_->peer_has_ended())) {
        told_of_end_ = true;
        std::string out;
        Builder(out).notice("input has ended; the answer still comes");
        connection_->write(out);
    }
    look_.set(office_.deadlines, office_.deadlines.now() + from_now, [this] {
        if (!connection_->healthy()) return close();
        if (!queries_.empty() && (input_over_ || input_is_held())) look_whether_left(kNextLook);
    });
}

bool Session::has_left() {
    if (connection_->healthy()) return false;
    // Asked amid a turn: the session ends with the next sweep.
    look_.set(office_.deadlines, office_.deadlines.now(), [this] { close(); });
    return true;
}

// The client waits no more for what it asked first, and goes on with the connection. An answer that has begun
// goes on as well: it cannot be taken back.
void Session::cancel() {
    if (queries_.empty() || passes_on() || state_ != State::open) return;
    auto& first = *queries_.front();
    withdraw(first);
    office_.numbers.count_response(first.request_class, metrics::ResponseKind::failed);
    std::string out;
    Builder(out).error("ERROR", pgwire::code::kQueryCanceled, "canceled at the client's request").ready();
    answered(first, std::move(out));
}

// The one way in which a client's connection ends while it is whole, a lingering close: what is written
// leaves, then the end of ours is told (shutdown), what still comes is read and dropped until the client ends
// too or the bound is over, and only then is it closed. To close over unread input would be a reset, which
// can take the last answer with it. From here on nothing that comes is taken as a request: its sender has had
// no answer and may ask again elsewhere.
void Session::finish() {
    if (state_ == State::closed || state_ == State::finishing) return;
    state_ = State::finishing;
    withdraw_all();
    office_.room.leave(this);
    large_.reset();
    look_.clear();
    go_on_.clear();
    if (auto slot = office_.lingering.take()) slot_ = std::move(slot);
    connection_->consume(connection_->held());
    connection_->bound_unread(kMostUnread);
    if (connection_->unwritten() == 0) return linger();
    taken_ = connection_->sent();
    limit_.set(office_.deadlines, office_.deadlines.now() + kTakesNothing, [this] { last_words_stand(); });
}

void Session::last_words_stand() {
    if (connection_->sent() == taken_) return close();
    taken_ = connection_->sent();
    limit_.set(office_.deadlines, office_.deadlines.now() + kTakesNothing, [this] { last_words_stand(); });
}

void Session::linger() {
    if (lingers_) return;
    lingers_ = true;
    connection_->consume(connection_->held());
    connection_->end_writing();
    const Time until = std::min(office_.deadlines.now() + kLinger, office_.linger_until);
    // A client that has ended its input has nothing left to be read; closed with the next sweep, since the
    // owner may be going through its sessions.
    limit_.set(office_.deadlines, input_over_ ? office_.deadlines.now() : until, [this] { close(); });
}

void Session::abandon() {
    // Of a begun answer the client can tell by the end alone that it is not whole; nothing can follow it.
    const bool amid_an_answer = passes_on();
    for (auto& q : queries_) {
        auto bytes = take_kept(*q);
        if (q->request) {
            withdraw(*q);
            office_.numbers.count_response(q->request_class, metrics::ResponseKind::failed);
            bytes.clear();
            Builder(bytes).error("ERROR", pgwire::code::kAdminShutdown, "the proxy is stopping").ready();
        }
        if (!amid_an_answer) connection_->write(bytes);
    }
    finish();
}

void Session::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    withdraw_all();
    office_.room.leave(this);
    large_.reset();
    limit_.clear();
    look_.clear();
    go_on_.clear();
    connection_.reset();
    slot_ = net::Slot();
    owner_.over(*this);
}

// ---- answering ----
void Session::reply(std::string bytes) {
    if (queries_.empty()) return connection_->write(bytes);
    queries_.push_back(std::make_unique<Query>(*this));
    keep(*queries_.back(), std::move(bytes));
}

void Session::say_error(std::string_view sqlstate, std::string_view what) {
    std::string out;
    Builder(out).error("ERROR", sqlstate, what).ready();
    reply(std::move(out));
}

void Session::end_with(std::string_view sqlstate, std::string_view what) {
    std::string out;
    Builder(out).error("FATAL", sqlstate, what);
    reply(out);
    finish();
}

void Session::answered(Query& query, std::string bytes) {
    let_go(query);
    query.source = nullptr;
    if (!is_first(query)) return keep(query, std::move(bytes));
    connection_->write(bytes);
    queries_.pop_front();
    next_answer();
}

// The first has been answered: what waited for that alone leaves.
void Session::next_answer() {
    answered_at_ = office_.deadlines.now();
    while (!queries_.empty() && !queries_.front()->request) {
        connection_->write(take_kept(*queries_.front()));
        queries_.pop_front();
    }
    if (!queries_.empty()) {
        read_all();
        if (!passes_on()) return;
        auto& first = *queries_.front();
        connection_->write(take_kept(first));
        renew_limit();
        return first.source->set_paused(false);  // last: its bytes come at once, and its end may
    }
    look_.clear();
    connection_->bound_unread(kMostUnread);
    // A stopping proxy ends connections between requests only: guards against losing a query that was sent
    // right behind the one just answered.
    if ((office_.closing || office_.quota.over()) && between_requests()) return finish();
    read_all();
}

void Session::served(Query& query, const traffic::ResultValue& value) {
    office_.numbers.count_response(query.request_class, metrics::ResponseKind::served);
    std::string out;
    out.reserve(value.bytes.size() + 128);
    const auto row = value.is_null ? std::nullopt : std::optional<std::string_view>(value.bytes);
    Builder(out)
        .row_description(value.column, value.type, value.is_binary)
        .data_row(row)
        .complete(value.command_tag)
        .ready();
    answered(query, std::move(out));
}

void Session::begun(Query& query, const traffic::ResultValue& head, std::size_t size,
                    traffic::ResponseSource& source) {
    std::string out;
    Builder(out).row_description(head.column, head.type, head.is_binary).data_row_head(size);
    query.source = &source;
    if (!is_first(query)) {
        source.set_paused(true);
        return keep(query, std::move(out));
    }
    connection_->write(out);
    renew_limit();
}

// The client's kernel and a window are ahead of what it reads; beyond that the member's side waits.
void Session::piece(Query& query, std::string_view bytes) {
    if (!SLOESTACK_INVARIANT(is_first(query), "a source that is held gives nothing")) return;
    connection_->write(bytes);
    if (connection_->unwritten() > (office_.account.over() ? 0 : kWindow)) query.source->set_paused(true);
    renew_limit();
}

void Session::finished(Query& query, const std::string& tag) {
    office_.numbers.count_response(query.request_class, metrics::ResponseKind::served);
    std::string out;
    Builder(out).complete(tag).ready();
    answered(query, std::move(out));
}

// The end of the connection is how the client can tell, where any of it has left.
void Session::cut_off(Query& query) {
    if (!is_first(query)) {
        take_kept(query);
        return failed(query);
    }
    office_.numbers.count_response(query.request_class, metrics::ResponseKind::failed);
    let_go(query);
    finish();
}

void Session::refused(Query& query, Micros retry_after) {
    office_.numbers.count_response(query.request_class, metrics::ResponseKind::rejected);
    answered(query, refusal(retry_after));
}

void Session::refuse(int request_class, Micros retry_after) {
    office_.numbers.count_response(request_class, metrics::ResponseKind::rejected);
    reply(refusal(retry_after));
    if (!queries_.empty()) queries_.back()->request_class = request_class;
}

void Session::failed(Query& query) {
    office_.numbers.count_response(query.request_class, metrics::ResponseKind::failed);
    std::string out;
    Builder(out).error("ERROR", pgwire::code::kSystemError, "no member has answered in time").ready();
    answered(query, std::move(out));
}

}  // namespace sloestack::downstream
