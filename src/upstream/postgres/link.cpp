#include "postgres/link.h"

#include <algorithm>

#include "invariant/invariant.h"
#include "pgwire/build.h"

namespace sloestack::postgres {
namespace {

// Room for the largest answer that is gathered, and what goes before and after it.
constexpr std::size_t kMostUnread = pgwire::kLargestMessage + 32 * 1024;
constexpr std::size_t kLongestGreeting = 8 * 1024;
constexpr const char* kProbe = "SHOW load";

std::string sqlstate_in(std::string_view body) {
    pgwire::Fields in(body);
    while (!in.empty()) {
        const auto field = in.byte();
        if (field == 0) break;
        const auto value = in.text();
        if (field == 'C') return std::string(value);
    }
    return "XX000";
}

}  // namespace

Link::Link(net::Loop& loop, const sockaddr_in& to, net::Slot slot, const User& user,
           upstream::LinkEvents& events)
    : user_(user), events_(events), slot_(std::move(slot)) {
    connection_ = net::Connection::open(loop, to, kMostUnread, *this);
}

void Link::connected() {
    state_ = State::starting;
    std::string out;
    pgwire::Builder(out).startup(user_.name, user_.database);
    connection_->write(out);
}

void Link::begin_query() {
    state_ = State::busy;
    reply_ = Reply();
    begun_ = in_pieces_ = held_ = false;
}

void Link::query(const std::string& statement) {
    if (!SLOESTACK_INVARIANT(state_ == State::idle, "one query at a time on a link")) return;
    begin_query();
    std::string out;
    out.reserve(statement.size() + 8);
    pgwire::Builder(out).query(statement);
    connection_->write(out);
}

void Link::probe() { query(kProbe); }

// A large statement is written from where it is kept: no copy for each link.
void Link::query(std::shared_ptr<const traffic::Statement> statement, Micros left) {
    const auto& s = *statement;
    if (s.text.size() <= pgwire::kLargestMessage) return query(s.with_time_left(left));
    if (!SLOESTACK_INVARIANT(state_ == State::idle, "one query at a time on a link")) return;
    begin_query();
    const auto digits = s.format_time_left(left);
    const std::string_view text = s.text;
    std::string head;
    pgwire::Builder(head).query_head(text.size() - s.time_left_size + digits.size());
    connection_->write(head);
    connection_->write(text.substr(0, s.time_left_offset), statement);
    connection_->write(digits);
    connection_->write(std::string(text.substr(s.time_left_offset + s.time_left_size)) + '\0');
}

std::size_t Link::longest(char type) const {
    if (state_ == State::busy) return reply_.longest(type);
    // Idle, nothing belongs here: guards against taking noise, or the second copy of an answer, for the
    // answer to the next query.
    if (state_ != State::starting) return 0;
    return std::string_view("RSKNEZ").find(type) == std::string_view::npos ? 0 : kLongestGreeting;
}

void Link::start_up(const pgwire::Message& message) {
    pgwire::Fields in(message.body);
    if (message.type == 'R' && in.int32() != 0) throw pgwire::BadMessage("a member asks for a password");
    if (message.type == 'E') {
        sqlstate_ = sqlstate_in(message.body);
        return broken();
    }
    connection_->consume(message.size);
    if (message.type != 'Z') return;
    state_ = State::idle;
    events_.link_ready(*this);
}

void Link::received() {
    try {
        // A callback may break the link or give it its next query, but never destroys it at once.
        while (state_ != State::broken) {
            if (left_ > 0) {
                if (held_ || connection_->held() == 0) break;
                pass_on();
                continue;
            }
            const auto may_come = [this](char type) { return longest(type); };
            const auto size = pgwire::size_of_next(connection_->unread(pgwire::kHead), may_come);
            if (!size) break;
            if (state_ == State::busy && *size > pgwire::kLargestMessage) {
                if (!begin_pieces(*size)) break;
                continue;
            }
            if (connection_->held() < *size) break;
            const auto message = pgwire::next_message(connection_->unread(*size), may_come);
            if (state_ == State::starting) {
                start_up(*message);
                continue;
            }
            begun_ = true;
            const bool whole = reply_.take(*message);
            connection_->consume(message->size);
            if (!whole) continue;
            state_ = State::idle;
            kept_ = true;
            auto reply = std::move(reply_);
            events_.link_answered(*this, reply.answer());
        }
        // A query that has only just gone out has no part of an answer yet.
        if (state_ == State::busy && (begun_ || connection_->held() > 0)) events_.link_answering(*this);
    } catch (const pgwire::BadMessage&) {
        spoilt();
    }
}

bool Link::begin_pieces(std::size_t size) {
    const auto head = connection_->unread(Reply::kRowHead);
    if (head.size() < Reply::kRowHead) return false;
    const auto bytes = reply_.begin_row(head, size);
    connection_->consume(Reply::kRowHead);
    begun_ = true;
    in_pieces_ = true;
    left_ = bytes;
    if (!events_.link_value_begins(*this, *reply_.answer().value, bytes)) left_ = 0;
    return true;
}

void Link::pass_on() {
    const auto bytes = connection_->unread(std::min(left_, pgwire::kLargestMessage));
    left_ -= bytes.size();
    events_.link_piece(*this, bytes);
    if (state_ != State::broken) connection_->consume(bytes.size());
}

void Link::set_paused(bool paused) {
    if (held_ == paused || state_ != State::busy) return;
    held_ = paused;
    connection_->hold(paused);
    if (!paused) received();
}

// Whatever was read of the answer before is worth nothing then: its outcome, its position, its report.
void Link::spoilt() {
    reply_ = Reply();
    broken();
}

void Link::drained() {
    if (state_ == State::busy) events_.link_sent(*this);
}

void Link::close() {
    state_ = State::broken;
    left_ = 0;
    deadline.clear();
    connection_.reset();
    slot_ = net::Slot();
}

// An end amid a message: what came before it was no answer either.
void Link::ended(net::Ending) {
    if (state_ != State::broken && connection_->held() > 0) return spoilt();
    broken();
}

void Link::broken() {
    if (state_ == State::broken) return;
    // Told while the state still says whether a query was out and whether it may run.
    events_.link_broken(*this, reply_.answer(), sqlstate_ == pgwire::code::kTooManyConnections);
    state_ = State::broken;
}

}  // namespace sloestack::postgres
