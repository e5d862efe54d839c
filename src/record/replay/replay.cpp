#include "replay/replay.h"

#include <algorithm>
#include <utility>

namespace sloestack::replay {
namespace {

using conversation::Kind;
using conversation::ResponseEvent;
using schedule::Fate;

constexpr Micros kAhead = 500'000;  // of the run's time, that the file is read ahead: more only costs memory
constexpr int kPacketsAtOnce = 1000;  // of one turn: reading must not make sends late
constexpr int kStepsAtOnce = 512;     // sends of one turn, then answers are read again
constexpr std::size_t kMostUnread = 8 * 1024 * 1024;
constexpr Micros kFirstRetry = 20'000, kMostRetry = 500'000;  // to reach a proxy that is down
constexpr Micros kGrace = 1'000'000;  // beyond a request's own time, in which a proxy still has to answer
constexpr Micros kNoDeadline = 10'000'000;  // for a request that states none

// Tickets carry what they stand for: 8 bits of the round, 32 of the connection, 24 of the number on it.
constexpr int kNumberBits = 24, kConnectionBits = 32;

}  // namespace

// ---- one live connection ----
class Replay::Live final : public net::ConnectionEvents, private conversation::Listener {
public:
    Live(Replay& of, std::uint64_t connection, std::string opening)
        : of_(of),
          connection_(connection),
          opening_(std::move(opening)),
          backoff_(kFirstRetry, kMostRetry, connection) {}
    ~Live() { end(writer::Side::client, false); }

    void open() {
        retry_.clear();
        number_ = ++of_.opened_live_;
        broken_ = false;
        up_ = heard_ = false;
        dialect_ = of_.language_.begin(number_, of_.memory_, *this);
        link_ = net::Connection::open(of_.loop_, of_.settings_.to, kMostUnread, *this);
        if (!link_) again();
    }
    void ask(Ticket ticket) {
        waiting_.push_back(ticket);
        flush();
        renew_limit();
    }
    bool idle() const { return sent_.empty() && waiting_.empty(); }
    bool broken() const { return broken_; }
    // No more is asked on it: it goes once all is answered.
    void finish() {
        finishing_ = true;
        if (idle()) of_.close(connection_);
    }

    void connected() override {
        up_ = true;
        ++of_.report_.connections;
        if (of_.out_)
            of_.out_->open(number_, pcap::endpoint_of(link_->local_address()),
                           pcap::endpoint_of(of_.settings_.to), of_.deadlines_.now());
        write(opening_);
    }
    void received() override {
        const auto now = of_.deadlines_.now();
        // Read before it is let go: the dialect reads it where it stands.
        const auto bytes = link_->peek();
        if (of_.out_) of_.out_->data(number_, writer::Side::server, bytes, now);
        const auto size = bytes.size();
        heard_ = true;
        dialect_->read(conversation::Side::server, bytes, now);
        if (link_) link_->consume(size);
        renew_limit();
        if (finishing_ && idle()) of_.close(connection_);
    }
    void ended(net::ConnectionEnd how) override {
        lose(writer::Side::server, how == net::ConnectionEnd::error);
    }

private:
    void greeted(conversation::ConnectionId, Time, const conversation::Digest&) override {
        backoff_.reset();
        heard_ = false;
        flush();
    }
    void asked(const conversation::RequestEvent&) override {}
    void answered(const ResponseEvent& a) override {
        if (sent_.empty()) return;
        const auto ticket = sent_.front();
        sent_.pop_front();
        heard_ = false;
        if (std::exchange(send_again_, false) && a.kind == Kind::none) {
            of_.requests_.at(ticket).resent = true;
            ++of_.report_.resent;
            waiting_.push_front(ticket);
            return;
        }
        of_.live_answer(ticket, a);
    }

    void write(std::string_view bytes) {
        const auto now = of_.deadlines_.now();
        if (of_.out_) of_.out_->data(number_, writer::Side::client, bytes, now);
        dialect_->read(conversation::Side::client, bytes, now);
        link_->write(bytes);
    }
    void flush() {
        while (!waiting_.empty() && link_ && up_ && dialect_->greeted()) {
            const auto ticket = waiting_.front();
            waiting_.pop_front();
            const auto found = of_.requests_.find(ticket);
            if (found == of_.requests_.end()) continue;
            auto& request = found->second;
            request.sent_at = of_.deadlines_.now();
            sent_.push_back(ticket);
            if (!request.resent) {
                ++of_.report_.sent;
                ++of_.report_.classes[request.request_class].sent;
                if (of_.settings_.checker) of_.settings_.checker(request, nullptr);
            }
            write(request.bytes);
        }
    }

    // A client waits as long as it said, and a little; then it goes away.
    void renew_limit() {
        const auto limit_of = [&](Ticket ticket, bool sent) -> Time {
            const auto found = of_.requests_.find(ticket);
            if (found == of_.requests_.end()) return of_.deadlines_.now();
            const auto& r = found->second;
            const auto left = r.left > 0 ? r.left : kNoDeadline;
            return sent ? r.sent_at + left + kGrace : r.due + left;
        };
        if (!sent_.empty())
            return limit_.set(of_.deadlines_, limit_of(sent_.front(), true), [this] { give_up(); });
        if (!waiting_.empty())
            return limit_.set(of_.deadlines_,
                              std::max(of_.deadlines_.now(), limit_of(waiting_.front(), false)),
                              [this] { expire(); });
        limit_.clear();
    }
    void give_up() { lose(writer::Side::client, false); }
    // It could not be sent in its time, so it never ran.
    void expire() {
        if (!waiting_.empty()) {
            const auto ticket = waiting_.front();
            waiting_.pop_front();
            // One that had been sent before its connection closed is a request without an answer.
            if (const auto found = of_.requests_.find(ticket);
                found != of_.requests_.end() && found->second.resent) {
                of_.live_answer(ticket, {});
            } else {
                of_.schedule_.ended(ticket, Fate::refused, of_.deadlines_.now());
                of_.skip(ticket, schedule::to_text(schedule::Skipped::lost));
            }
        }
        renew_limit();
        if (finishing_ && idle()) of_.close(connection_);
    }

    void end(writer::Side first, bool reset) {
        if (!link_) return;
        if (of_.out_ && up_) {
            const auto now = of_.deadlines_.now();
            reset ? of_.out_->reset(number_, first, now) : of_.out_->finish(number_, first, now);
        }
        link_.reset();
        up_ = false;
    }

    // What was sent may have run: a write is not sent again. A read is, once, where nothing of an answer
    // came: a proxy may close a connection between requests, and a client whose request crosses that sends it
    // again.
    void lose(writer::Side by, bool reset) {
        if (!link_) return;
        const bool was_up = dialect_->greeted();
        end(by, reset);
        ++of_.report_.broken;
        limit_.clear();
        if (was_up && !heard_ && sent_.size() == 1) {
            const auto found = of_.requests_.find(sent_.front());
            send_again_ = found != of_.requests_.end() && found->second.key.empty() && !found->second.resent;
        }
        // Tells an answer for each of sent_: none, or the error that was the proxy's last word.
        dialect_->over(of_.deadlines_.now());
        send_again_ = false;
        sent_.clear();
        broken_ = true;
        if (finishing_ && idle()) return of_.close(connection_);
        // A connection that has nothing to ask is opened anew when it has.
        if (!waiting_.empty()) was_up ? open() : again();
    }
    void again() {
        link_.reset();
        ++of_.report_.reconnects;
        retry_.set(of_.deadlines_, of_.deadlines_.now() + backoff_.next(), [this] {
            if (waiting_.empty()) {
                broken_ = true;
                return;
            }
            open();
        });
        renew_limit();
    }

    Replay& of_;
    std::uint64_t connection_, number_ = 0;
    std::string opening_;
    std::unique_ptr<conversation::Dialect> dialect_;
    std::unique_ptr<net::Connection> link_;
    std::deque<Ticket> waiting_, sent_;
    schedule::Backoff backoff_;
    Deadline limit_, retry_;
    bool up_ = false, broken_ = true, finishing_ = false;
    bool heard_ = false;  // part of an answer has come that is not whole
    bool send_again_ = false;

    friend class Replay;
};

// ---- the file ----
Replay::Replay(net::Loop& loop, Deadlines& deadlines, const Settings& settings,
               const conversation::Language& language, Time start, writer::Writer* out)
    : loop_(loop),
      deadlines_(deadlines),
      settings_(settings),
      language_(language),
      out_(out),
      schedule_(settings.schedule, start) {
    if (settings.schedule.rounds > 255) throw std::invalid_argument("a replay has 255 rounds at most");
    memory_.most = 256 * 1024 * 1024;  // of live connections: each has its own bound besides
    begin_round();
}

Replay::~Replay() = default;

void Replay::begin_round() {
    recording_ = std::make_unique<conversation::Recording>(settings_.path, language_, settings_.recording,
                                                           static_cast<conversation::Listener&>(*this));
}

schedule::Ticket Replay::ticket_of(std::uint64_t connection, std::uint32_t number) const {
    return static_cast<Ticket>(schedule_.round()) << (kConnectionBits + kNumberBits) |
           connection << kNumberBits | number;
}

void Replay::read_ahead() {
    int left = kPacketsAtOnce;
    while (!file_over_ && left-- > 0 && ahead_ < settings_.most_ahead &&
           (schedule_.queued() == 0 || schedule_.given_up_to() < deadlines_.now() + kAhead)) {
        if (recording_->step()) continue;
        if (schedule_.end_of_round())
            begin_round();
        else
            file_over_ = true;
    }
}

void Replay::opened(const conversation::Opened& o) {
    openings_[schedule::connection_in(schedule_.round(), o.connection)] = std::string(o.bytes);
    schedule::Recorded step;
    step.ticket = 0;
    step.connection = o.connection;
    step.step = schedule::Step::open;
    step.at = o.at;
    schedule_.add(step);
}

void Replay::asked(const conversation::RequestEvent& a) {
    if (a.number >= 1u << kNumberBits || a.connection >= std::uint64_t{1} << kConnectionBits) return;
    schedule::Recorded step;
    step.ticket = ticket_of(a.connection, a.number);
    step.connection = a.connection;
    step.at = a.at;
    step.id = a.id;
    step.key = a.key;
    step.ahead = a.ahead;
    Request request;
    request.connection = a.connection;
    request.number = a.number;
    request.round = schedule_.round();
    request.request_class = a.request_class.empty() ? "(none)" : std::string(a.request_class);
    request.key = a.key;
    request.left = a.left;
    if (request.round > 0 && !a.id.empty()) {
        request.id = schedule_.name(a.id, request.round);
        request.bytes = language_.renamed(
            a.bytes, request.id, a.key.empty() ? std::string() : schedule_.name(a.key, request.round));
    } else {
        request.id = a.id;
        request.bytes = a.bytes;
    }
    ahead_ += request.bytes.size();
    requests_.emplace(step.ticket, std::move(request));
    schedule_.add(step);
}

void Replay::answered(const ResponseEvent& a) {
    const auto ticket = ticket_of(a.connection, a.number);
    const auto found = requests_.find(ticket);
    if (found == requests_.end()) return;  // it was skipped
    auto& request = found->second;
    if (a.kind == Kind::none && request.round == 0) schedule_.answer_missing(request.key);
    request.recorded = a;
    settle(ticket);
}

void Replay::closed(conversation::ConnectionId connection, Time at) {
    schedule::Recorded step;
    step.connection = connection;
    step.step = schedule::Step::close;
    step.at = at;
    schedule_.add(step);
}

// ---- the run ----
void Replay::work() {
    read_ahead();
    int left = kStepsAtOnce;
    while (left-- > 0) {
        const auto due = schedule_.take(deadlines_.now());
        if (!due) break;
        carry_out(*due);
    }
    if (file_over_ && schedule_.over()) {
        // What is still open here has been answered or given up; the connections go.
        live_.clear();
        finished_ = true;
        wake_.clear();
        return;
    }
    const auto now = deadlines_.now();
    auto next = schedule_.next().value_or(now + 10'000);
    if (!file_over_) next = std::min(next, now + 10'000);
    wake_.set(deadlines_, std::max(next, now), [] {});
}

void Replay::carry_out(const schedule::Due& due) {
    if (due.step == schedule::Step::close) {
        if (const auto live = live_.find(due.connection); live != live_.end()) live->second->finish();
        return;
    }
    if (due.skipped != schedule::Skipped::no) return skip(due.ticket, schedule::to_text(due.skipped));
    auto& live = live_[due.connection];
    if (!live) {
        const auto opening = openings_.extract(due.connection);
        live = std::make_unique<Live>(*this, due.connection,
                                      opening.empty() ? std::string() : std::move(opening.mapped()));
    }
    if (due.step == schedule::Step::open) return live->open();
    report_.late_us.add(due.late);
    if (due.held == schedule::Held::none) report_.own_late_us.add(due.late);
    const auto found = requests_.find(due.ticket);
    if (found != requests_.end()) {
        found->second.due = due.due;
        ahead_ -= found->second.bytes.size();
    }
    live->ask(due.ticket);
    // Broken while it had nothing to ask.
    if (live->broken() && !live->retry_.is_set()) live->open();
}

void Replay::skip(Ticket ticket, const char* why) {
    ++report_.skipped[why];
    const auto found = requests_.find(ticket);
    if (found == requests_.end()) return;
    if (found->second.sent_at == 0 && found->second.due == 0) ahead_ -= found->second.bytes.size();
    requests_.erase(found);
}

void Replay::live_answer(Ticket ticket, ResponseEvent answer) {
    const auto found = requests_.find(ticket);
    if (found == requests_.end()) return;
    auto& request = found->second;
    const auto fate = answer.kind == Kind::refused ? Fate::refused
                      : answer.kind == Kind::none  ? Fate::unknown
                                                   : Fate::answered;
    ++report_.answers[conversation::to_text(answer.kind)];
    if (settings_.checker) settings_.checker(request, &answer);
    auto& request_class = report_.classes[request.request_class];
    if (answer.kind == Kind::served || answer.kind == Kind::empty) {
        ++request_class.served;
        request_class.latency_us.add(answer.at - request.sent_at);
    }
    if (answer.kind == Kind::refused) ++request_class.refused;
    if (answer.kind == Kind::failed) ++request_class.failed;
    if (answer.kind == Kind::none) ++request_class.none;
    request.live = std::move(answer);
    request.bytes = {};
    schedule_.ended(ticket, fate, deadlines_.now());
    settle(ticket);
}

void Replay::settle(Ticket ticket) {
    const auto found = requests_.find(ticket);
    auto& r = found->second;
    if (!r.live || !r.recorded) return;
    if (r.recorded->kind == Kind::none) {
        ++report_.unrecorded;
    } else {
        const auto verdict = conversation::compare(*r.recorded, *r.live);
        if (verdict.same) {
            ++report_.same;
        } else {
            ++report_.different;
            ++report_.causes[conversation::to_text(verdict.cause)];
            if (verdict.cause == conversation::Cause::none) ++report_.unexplained;
            if (report_.named.size() < settings_.most_named)
                report_.named.push_back(
                    {r.connection, r.number, r.round, r.id, r.request_class, verdict.what, verdict.cause});
        }
    }
    requests_.erase(found);
}

void Replay::close(std::uint64_t connection) {
    const auto found = live_.find(connection);
    if (found == live_.end()) return;
    // It may be on the call stack.
    auto gone = std::move(found->second);
    live_.erase(found);
    gone->end(writer::Side::client, false);
    gone->limit_.clear();
    gone->retry_.clear();
    loop_.delete_later(std::move(gone));
}

}  // namespace sloestack::replay
