#include "replay/replay.h"

#include <algorithm>
#include <utility>

namespace sloestack::replay {
namespace {

using conversation::Kind;
using conversation::ResponseEvent;
using schedule::Outcome;

constexpr Micros kReadAhead = 500'000;  // how far ahead of the run the file is read; more only costs memory
constexpr int kMaxPacketsPerIteration = 1000;  // bounds the time spent reading, which must not delay requests
constexpr int kMaxStepsPerIteration = 512;     // steps played before responses are read again
constexpr std::size_t kMaxReceiveBufferBytes = 8 * 1024 * 1024;
constexpr Micros kMinReconnectDelay = 20'000, kMaxReconnectDelay = 500'000;  // to a proxy that is down
constexpr Micros kResponseGrace = 1'000'000;     // wait for a response after the request's own deadline
constexpr Micros kDefaultDeadline = 10'000'000;  // for a request that does not state one

// A ticket consists of the round (8 bits), the connection (32 bits) and the number of the request on it (24
// bits).
constexpr int kNumberBits = 24, kConnectionBits = 32;

}  // namespace

// ---- live connection ----
class Replay::LiveConnection final : public net::ConnectionEvents, private conversation::Listener {
public:
    LiveConnection(Replay& replay, std::uint64_t connection, std::string startup_messages)
        : replay_(replay),
          connection_(connection),
          startup_messages_(std::move(startup_messages)),
          backoff_(kMinReconnectDelay, kMaxReconnectDelay, connection) {}
    ~LiveConnection() { close_transport(writer::Side::client, false); }

    void open() {
        reconnect_timer_.clear();
        number_ = ++replay_.opened_connections_;
        is_disconnected_ = false;
        is_connected_ = has_partial_response_ = false;
        dialect_ = replay_.language_.begin(number_, replay_.memory_, *this);
        transport_ =
            net::Connection::open(replay_.loop_, replay_.settings_.to, kMaxReceiveBufferBytes, *this);
        if (!transport_) schedule_reconnect();
    }
    void add_request(Ticket ticket) {
        unsent_.push_back(ticket);
        send_unsent();
        update_deadline();
    }
    bool is_idle() const { return sent_.empty() && unsent_.empty(); }
    bool is_disconnected() const { return is_disconnected_; }
    // No more requests follow: closes the connection as soon as all are answered.
    void finish_when_idle() {
        is_finishing_ = true;
        if (is_idle()) replay_.close(connection_);
    }

    void connected() override {
        is_connected_ = true;
        ++replay_.report_.connections;
        if (replay_.capture_)
            replay_.capture_->open(number_, pcap::endpoint_of(transport_->local_address()),
                                   pcap::endpoint_of(replay_.settings_.to), replay_.deadlines_.now());
        write(startup_messages_);
    }
    void received() override {
        const auto now = replay_.deadlines_.now();
        // The dialect parses the bytes in place, so they are consumed only afterwards.
        const auto bytes = transport_->peek();
        if (replay_.capture_) replay_.capture_->data(number_, writer::Side::server, bytes, now);
        const auto size = bytes.size();
        has_partial_response_ = true;
        dialect_->read(conversation::Side::server, bytes, now);
        if (transport_) transport_->consume(size);
        update_deadline();
        if (is_finishing_ && is_idle()) replay_.close(connection_);
    }
    void ended(net::ConnectionEnd end) override {
        handle_disconnect(writer::Side::server, end == net::ConnectionEnd::error);
    }

private:
    void greeted(conversation::ConnectionId, Time, const conversation::Digest&) override {
        backoff_.reset();
        has_partial_response_ = false;
        send_unsent();
    }
    void asked(const conversation::RequestEvent&) override {}
    void answered(const ResponseEvent& a) override {
        if (sent_.empty()) return;
        const auto ticket = sent_.front();
        sent_.pop_front();
        has_partial_response_ = false;
        if (std::exchange(resend_read_, false) && a.kind == Kind::none) {
            replay_.requests_.at(ticket).resent = true;
            ++replay_.report_.resent;
            unsent_.push_front(ticket);
            return;
        }
        replay_.add_live_response(ticket, a);
    }

    void write(std::string_view bytes) {
        const auto now = replay_.deadlines_.now();
        if (replay_.capture_) replay_.capture_->data(number_, writer::Side::client, bytes, now);
        dialect_->read(conversation::Side::client, bytes, now);
        transport_->write(bytes);
    }
    void send_unsent() {
        while (!unsent_.empty() && transport_ && is_connected_ && dialect_->greeted()) {
            const auto ticket = unsent_.front();
            unsent_.pop_front();
            const auto found = replay_.requests_.find(ticket);
            if (found == replay_.requests_.end()) continue;
            auto& request = found->second;
            request.sent_at = replay_.deadlines_.now();
            sent_.push_back(ticket);
            if (!request.resent) {
                ++replay_.report_.sent;
                ++replay_.report_.classes[request.request_class].sent;
                if (replay_.settings_.checker) replay_.settings_.checker(request, nullptr);
            }
            write(request.bytes);
        }
    }

    // Sets the deadline of the oldest request: for its response if it was sent, and otherwise for sending it.
    void update_deadline() {
        const auto deadline_of = [&](Ticket ticket, bool is_sent) -> Time {
            const auto found = replay_.requests_.find(ticket);
            if (found == replay_.requests_.end()) return replay_.deadlines_.now();
            const auto& request = found->second;
            const auto left = request.left > 0 ? request.left : kDefaultDeadline;
            return is_sent ? request.sent_at + left + kResponseGrace : request.due + left;
        };
        if (!sent_.empty())
            return deadline_.set(replay_.deadlines_, deadline_of(sent_.front(), true),
                                 [this] { on_response_timeout(); });
        if (!unsent_.empty())
            return deadline_.set(replay_.deadlines_,
                                 std::max(replay_.deadlines_.now(), deadline_of(unsent_.front(), false)),
                                 [this] { on_send_timeout(); });
        deadline_.clear();
    }
    void on_response_timeout() { handle_disconnect(writer::Side::client, false); }
    // The request could not be sent before its deadline, so it never ran.
    void on_send_timeout() {
        if (!unsent_.empty()) {
            const auto ticket = unsent_.front();
            unsent_.pop_front();
            // A request that was sent before its connection closed counts as one without a response.
            if (const auto found = replay_.requests_.find(ticket);
                found != replay_.requests_.end() && found->second.resent) {
                replay_.add_live_response(ticket, {});
            } else {
                replay_.schedule_.ended(ticket, Outcome::refused, replay_.deadlines_.now());
                replay_.skip(ticket, schedule::to_text(schedule::SkipReason::no_connection));
            }
        }
        update_deadline();
        if (is_finishing_ && is_idle()) replay_.close(connection_);
    }

    void close_transport(writer::Side closed_by, bool is_reset) {
        if (!transport_) return;
        if (replay_.capture_ && is_connected_) {
            const auto now = replay_.deadlines_.now();
            is_reset ? replay_.capture_->reset(number_, closed_by, now)
                     : replay_.capture_->finish(number_, closed_by, now);
        }
        transport_.reset();
        is_connected_ = false;
    }

    // Handles the end of the connection. A request that was sent may have run, so a write is not sent again.
    // A read is sent again once if no part of its response arrived: a proxy may close a connection between
    // requests, and a client whose request crosses that sends it again.
    void handle_disconnect(writer::Side closed_by, bool is_reset) {
        if (!transport_) return;
        const bool was_greeted = dialect_->greeted();
        close_transport(closed_by, is_reset);
        ++replay_.report_.broken;
        deadline_.clear();
        if (was_greeted && !has_partial_response_ && sent_.size() == 1) {
            const auto found = replay_.requests_.find(sent_.front());
            resend_read_ =
                found != replay_.requests_.end() && found->second.key.empty() && !found->second.resent;
        }
        // Reports a response for each request in sent_: none, or the error that the proxy sent last.
        dialect_->over(replay_.deadlines_.now());
        resend_read_ = false;
        sent_.clear();
        is_disconnected_ = true;
        if (is_finishing_ && is_idle()) return replay_.close(connection_);
        // A connection without requests is opened again when it has one.
        if (!unsent_.empty()) was_greeted ? open() : schedule_reconnect();
    }
    void schedule_reconnect() {
        transport_.reset();
        ++replay_.report_.reconnects;
        reconnect_timer_.set(replay_.deadlines_, replay_.deadlines_.now() + backoff_.next(), [this] {
            if (unsent_.empty()) {
                is_disconnected_ = true;
                return;
            }
            open();
        });
        update_deadline();
    }

    Replay& replay_;
    std::uint64_t connection_, number_ = 0;
    std::string startup_messages_;
    std::unique_ptr<conversation::Dialect> dialect_;
    std::unique_ptr<net::Connection> transport_;
    std::deque<Ticket> unsent_, sent_;
    schedule::Backoff backoff_;
    Deadline deadline_, reconnect_timer_;  // of the oldest request; of the next attempt to connect
    bool is_connected_ = false, is_disconnected_ = true, is_finishing_ = false;
    bool has_partial_response_ = false;  // the bytes received last did not complete a response
    bool resend_read_ = false;

    friend class Replay;
};

// ---- reading the file ----
Replay::Replay(net::Loop& loop, Deadlines& deadlines, const Settings& settings,
               const conversation::Language& language, Time start, writer::Writer* capture)
    : loop_(loop),
      deadlines_(deadlines),
      settings_(settings),
      language_(language),
      capture_(capture),
      schedule_(settings.schedule, start) {
    if (settings.schedule.rounds > 255) throw std::invalid_argument("rounds must be at most 255 in a replay");
    memory_.most = 256 * 1024 * 1024;  // for all live connections; each has its own limit as well
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
    int left = kMaxPacketsPerIteration;
    while (!is_file_read_ && left-- > 0 && read_ahead_bytes_ < settings_.max_read_ahead_bytes &&
           (schedule_.queued() == 0 || schedule_.latest_due() < deadlines_.now() + kReadAhead)) {
        if (recording_->step()) continue;
        if (schedule_.end_of_round())
            begin_round();
        else
            is_file_read_ = true;
    }
}

void Replay::opened(const conversation::Opened& o) {
    startup_messages_[schedule::connection_in(schedule_.round(), o.connection)] = std::string(o.bytes);
    schedule::RecordedStep step;
    step.ticket = 0;
    step.connection = o.connection;
    step.step = schedule::Step::open;
    step.at = o.at;
    schedule_.add(step);
}

void Replay::asked(const conversation::RequestEvent& a) {
    if (a.number >= 1u << kNumberBits || a.connection >= std::uint64_t{1} << kConnectionBits) return;
    schedule::RecordedStep step;
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
        request.id = schedule_.name_in_round(a.id, request.round);
        request.bytes =
            language_.renamed(a.bytes, request.id,
                              a.key.empty() ? std::string() : schedule_.name_in_round(a.key, request.round));
    } else {
        request.id = a.id;
        request.bytes = a.bytes;
    }
    read_ahead_bytes_ += request.bytes.size();
    requests_.emplace(step.ticket, std::move(request));
    schedule_.add(step);
}

void Replay::answered(const ResponseEvent& a) {
    const auto ticket = ticket_of(a.connection, a.number);
    const auto found = requests_.find(ticket);
    if (found == requests_.end()) return;  // the request was skipped
    auto& request = found->second;
    if (a.kind == Kind::none && request.round == 0) schedule_.mark_response_missing(request.key);
    request.recorded = a;
    compare_responses(ticket);
}

void Replay::closed(conversation::ConnectionId connection, Time at) {
    schedule::RecordedStep step;
    step.connection = connection;
    step.step = schedule::Step::close;
    step.at = at;
    schedule_.add(step);
}

// ---- playing steps ----
void Replay::work() {
    read_ahead();
    int left = kMaxStepsPerIteration;
    while (left-- > 0) {
        const auto due = schedule_.take(deadlines_.now());
        if (!due) break;
        play(*due);
    }
    if (is_file_read_ && schedule_.over()) {
        // All requests have a response or were given up, so the remaining connections are closed.
        live_connections_.clear();
        finished_ = true;
        wake_.clear();
        return;
    }
    const auto now = deadlines_.now();
    auto next = schedule_.next().value_or(now + 10'000);
    if (!is_file_read_) next = std::min(next, now + 10'000);
    wake_.set(deadlines_, std::max(next, now), [] {});
}

void Replay::play(const schedule::Due& due) {
    if (due.step == schedule::Step::close) {
        if (const auto live = live_connections_.find(due.connection); live != live_connections_.end())
            live->second->finish_when_idle();
        return;
    }
    if (due.skipped != schedule::SkipReason::none) return skip(due.ticket, schedule::to_text(due.skipped));
    auto& live = live_connections_[due.connection];
    if (!live) {
        const auto startup = startup_messages_.extract(due.connection);
        live = std::make_unique<LiveConnection>(
            *this, due.connection, startup.empty() ? std::string() : std::move(startup.mapped()));
    }
    if (due.step == schedule::Step::open) return live->open();
    report_.late_us.add(due.late);
    if (due.hold_reason == schedule::HoldReason::none) report_.own_late_us.add(due.late);
    const auto found = requests_.find(due.ticket);
    if (found != requests_.end()) {
        found->second.due = due.due;
        read_ahead_bytes_ -= found->second.bytes.size();
    }
    live->add_request(due.ticket);
    // The connection was closed while it had no requests.
    if (live->is_disconnected() && !live->reconnect_timer_.is_set()) live->open();
}

void Replay::skip(Ticket ticket, const char* reason) {
    ++report_.skipped[reason];
    const auto found = requests_.find(ticket);
    if (found == requests_.end()) return;
    if (found->second.sent_at == 0 && found->second.due == 0) read_ahead_bytes_ -= found->second.bytes.size();
    requests_.erase(found);
}

void Replay::add_live_response(Ticket ticket, ResponseEvent answer) {
    const auto found = requests_.find(ticket);
    if (found == requests_.end()) return;
    auto& request = found->second;
    const auto outcome = answer.kind == Kind::refused ? Outcome::refused
                         : answer.kind == Kind::none  ? Outcome::unknown
                                                      : Outcome::answered;
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
    schedule_.ended(ticket, outcome, deadlines_.now());
    compare_responses(ticket);
}

void Replay::compare_responses(Ticket ticket) {
    const auto found = requests_.find(ticket);
    auto& request = found->second;
    if (!request.live || !request.recorded) return;
    if (request.recorded->kind == Kind::none) {
        ++report_.unrecorded;
    } else {
        const auto verdict = conversation::compare(*request.recorded, *request.live);
        if (verdict.same) {
            ++report_.same;
        } else {
            ++report_.different;
            ++report_.causes[conversation::to_text(verdict.cause)];
            if (verdict.cause == conversation::Cause::none) ++report_.unexplained;
            if (report_.named.size() < settings_.max_listed_differences)
                report_.named.push_back({request.connection, request.number, request.round, request.id,
                                         request.request_class, verdict.what, verdict.cause});
        }
    }
    requests_.erase(found);
}

void Replay::close(std::uint64_t connection) {
    const auto found = live_connections_.find(connection);
    if (found == live_connections_.end()) return;
    // The connection may be on the call stack, so it is deleted later.
    auto closed = std::move(found->second);
    live_connections_.erase(found);
    closed->close_transport(writer::Side::client, false);
    closed->deadline_.clear();
    closed->reconnect_timer_.clear();
    loop_.delete_later(std::move(closed));
}

}  // namespace sloestack::replay
