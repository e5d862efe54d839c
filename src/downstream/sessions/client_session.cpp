#include "sessions/client_session.h"

#include <utility>

#include "pgwire/build.h"

namespace sloestack::downstream {
namespace {

constexpr std::size_t kMaxUnwrittenBytes = pgwire::kMaxBufferedMessageBytes;  // beyond it no input is read
constexpr int kMaxMessagesPerIteration = 16;  // so that no client monopolises the event loop
// Clients have been seen to pipeline up to nine queries. The limit is lower because each open query occupies
// an upstream connection, of which there are few.
constexpr std::size_t kMaxOpenQueries = 8;
constexpr Micros kMemoryRetryDelayUs = 5'000;
// How long a large statement may wait for memory, from its arrival. Its deadline stands at its end and is not
// known yet, and a response may be at most 0.5 s late.
constexpr Micros kMaxMemoryWaitUs = 250'000;
constexpr Micros kIdleBeforeFirstQueryUs = 50'000;
constexpr Micros kStalledMessageUs = 500'000;  // longer than slow clients pause between two writes

}  // namespace

ClientSession::ClientSession(SessionContext& context, ClientSessionOwner& owner, evutil_socket_t fd,
                             net::DescriptorSlot slot, Time connected_since, bool reject_requests)
    : context_(context),
      owner_(owner),
      slot_(std::move(slot)),
      connected_since_(connected_since),
      statements_(context),
      timeouts_(context.deadlines, context.deadlines.now(), [this] { on_timeout(); }),
      connection_(
          net::Connection::from_socket(context.loop, fd, kMaxUnreadStartupBytes, *this, &context.account)),
      framer_(connection_.get(), context.large_statement_budget),
      responses_(context, *this, connection_.get()),
      disconnect_detector_(context.deadlines, *this, connection_.get()) {
    if (!connection_) return;
    if (reject_requests) rejection_ = {metrics::SessionEnd::overloaded, kRetryAfterWhenBusyUs};
    cancel_key_ = context_.cancel_keys.add(*this);
    renew_timeout();
}

ClientSession::~ClientSession() { context_.cancel_keys.remove(cancel_key_); }

bool ClientSession::has_no_input() const {
    return responses_.empty() && !framer_.has_partial_message() && connection_->has_nothing_to_read();
}

bool ClientSession::is_output_full() const {
    return connection_ && connection_->unwritten_bytes() > kMaxUnwrittenBytes;
}

bool ClientSession::is_between_requests() const { return state_ == State::open && has_no_input(); }

bool ClientSession::is_idle_after_query() const {
    return has_sent_query_ && is_between_requests() && connection_->unwritten_bytes() == 0;
}

bool ClientSession::is_idle_before_first_query() const {
    if (is_ending() || has_sent_query_) return false;
    return context_.deadlines.now() - timeouts_.connected_at() > kIdleBeforeFirstQueryUs && has_no_input();
}

bool ClientSession::is_stalled_in_message() const {
    if (is_ending() || !responses_.empty() || framer_.waits_for_memory()) return false;
    const bool is_silent = context_.deadlines.now() - framer_.last_read_at() > kStalledMessageUs;
    return is_silent && framer_.has_partial_message() && connection_->has_nothing_to_read();
}

Time ClientSession::last_active_at() const {
    return std::max({timeouts_.connected_at(), framer_.last_read_at(), responses_.last_response_at()});
}

// ---- Reading ----
void ClientSession::received() {
    if (state_ == State::finishing) return connection_->consume(connection_->unread_bytes());
    const Micros age = input_age();
    context_.session_metrics.count_request_read(age);
    framer_.on_bytes_received(context_.deadlines.now(), age);
    read_messages();
    if (input_is_paused()) disconnect_detector_.on_input_paused();
}

// Input waits while the connection is in the accept queue or the process is stopped. Without the kernel's
// answer only the first is known.
Micros ClientSession::input_age() const {
    if (const auto age = connection_->input_age()) return *age;
    return framer_.last_read_at() ? 0 : context_.deadlines.now() - connected_since_;
}

void ClientSession::drained() {
    if (state_ == State::finishing) return linger();
    if (responses_.is_streaming()) {
        responses_.resume_stream();
        return renew_timeout();
    }
    read_messages();
}

void ClientSession::read_messages() {
    if (is_reading_) return;  // called for a response written in the loop below, which continues
    is_reading_ = true;
    try {
        int messages_left = kMaxMessagesPerIteration;
        while (messages_left > 0 && read_message()) --messages_left;
        if (messages_left == 0)
            resume_reading_.set(context_.deadlines, context_.deadlines.now(), [this] { read_messages(); });
    } catch (const pgwire::ProtocolError& error) {
        if (!is_ending())
            fail_session(metrics::SessionEnd::protocol_violation, pgwire::code::kProtocolViolation,
                         error.what());
    }
    is_reading_ = false;
    const bool continues_later = resume_reading_.is_set() || is_output_full();
    if (input_has_ended_ && responses_.empty() && !continues_later && state_ != State::closed)
        finish(metrics::SessionEnd::client_closed);
    finish_if_rejected();
    renew_timeout();
}

bool ClientSession::read_message() {
    if (is_ending()) return false;
    if (is_output_full()) return false;  // continues in drained()
    if (!responses_.empty() && !next_query_may_overlap()) return false;
    if (framer_.in_large_statement()) return continue_large_statement();
    if (state_ == State::open) {
        if (const auto size = framer_.large_statement_size()) return begin_large_statement(*size);
    }
    return read_small_message();
}

bool ClientSession::read_small_message() {
    const auto message = state_ == State::startup ? framer_.next_startup() : framer_.next_message();
    if (!message) return false;
    owner_.session_used(*this);
    timeouts_.on_message_read();
    message_arrived_at_ = framer_.arrival_of(*message);
    // Consumed after it is handled, because the message refers to the connection's buffer.
    if (state_ == State::startup)
        handle_startup(*message);
    else
        handle_message(*message);
    if (state_ == State::closed) return false;
    framer_.consume(*message);
    return true;
}

// Memory for the whole statement is reserved before its body is read; until then the body stays in the socket
// buffer. If there is none in time, the body is discarded and the request is rejected.
bool ClientSession::begin_large_statement(std::size_t size) {
    if (rejection_) {
        framer_.skip_large_statement(size);
        return continue_large_statement();
    }
    const bool has_memory = framer_.reserve_large_statement(size);
    const Time now = context_.deadlines.now();
    if (!has_memory && now < framer_.next_message_arrival() + kMaxMemoryWaitUs) {
        resume_reading_.set(context_.deadlines, now + kMemoryRetryDelayUs, [this] { read_messages(); });
        return false;
    }
    owner_.session_used(*this);
    if (has_memory) {
        framer_.begin_large_statement(size);
    } else {
        context_.session_metrics.count_memory_rejection();
        framer_.skip_large_statement(size);
    }
    return continue_large_statement();
}

bool ClientSession::continue_large_statement() {
    auto statement = framer_.read_large_statement();
    if (!statement) return false;
    timeouts_.on_message_read();
    message_arrived_at_ = framer_.large_statement_arrival();
    if (statement->is_skipped) {
        if (!skip_to_sync_) reject_skipped_statement();
        return true;
    }
    auto& text = statement->text;
    if (text.find('\0') != text.size() - 1)
        throw pgwire::ProtocolError("Query message does not end with its only zero byte");
    text.pop_back();
    if (skip_to_sync_) return true;
    handle_query(std::move(text), std::move(statement->memory));
    return state_ != State::closed;
}

// Only reads may overlap with reads; other queries and malformed messages wait for the responses before them.
bool ClientSession::next_query_may_overlap() const {
    if (framer_.in_large_statement() || skip_to_sync_) return false;
    if (responses_.size() >= kMaxOpenQueries || context_.account.is_exceeded()) return false;
    // The open queries before the last one have passed the same check.
    if (!statements_.may_overlap(responses_.last_request_class())) return false;
    try {
        const auto text = framer_.peek_query(kMaxUnreadBehindRequestBytes);
        return text && statements_.may_overlap(statements_.request_class_of(*text));
    } catch (const pgwire::ProtocolError&) {
        return false;
    }
}

bool ClientSession::input_is_paused() const {
    return !responses_.empty() && state_ == State::open &&
           connection_->unread_bytes() >= kMaxUnreadBehindRequestBytes;
}

// ---- Responses ----
void ClientSession::all_responses_written() {
    disconnect_detector_.stop();
    connection_->set_max_unread_bytes(kMaxUnreadBytes);
    // Only between requests: a query may have been sent right after the one whose response was just written.
    const bool is_displaced = context_.client_quota.is_exceeded();
    if ((context_.close_after_response || is_displaced) && is_between_requests())
        return finish(is_displaced ? metrics::SessionEnd::displaced : metrics::SessionEnd::stopping);
    read_messages();
}

// A response that has been written in part cannot be canceled.
void ClientSession::cancel() {
    if (responses_.empty() || responses_.is_streaming() || state_ != State::open) return;
    responses_.cancel_first();
}

// ---- Time-outs ----
void ClientSession::renew_timeout() {
    if (is_ending()) return;
    SessionActivity activity;
    activity.is_started = state_ == State::open;
    activity.has_sent_query = has_sent_query_;
    activity.waits_for_proxy = !responses_.empty() || framer_.waits_for_memory();
    activity.has_partial_message = framer_.has_partial_message();
    activity.in_large_statement = framer_.partial_statement_size() > pgwire::kMaxBufferedMessageBytes;
    activity.unwritten_bytes = connection_->unwritten_bytes();
    activity.sent_bytes = connection_->sent_bytes();
    activity.last_read_at = framer_.last_read_at();
    activity.last_response_at = responses_.last_response_at();
    timeouts_.renew(activity);
}

void ClientSession::on_timeout() {
    if (connection_->unwritten_bytes() > 0) {
        if (timeouts_.write_has_stalled(connection_->sent_bytes()))
            return close(metrics::SessionEnd::write_stalled);
        return renew_timeout();
    }
    if (state_ == State::open && framer_.has_partial_message())
        return fail_session(metrics::SessionEnd::message_timeout, pgwire::code::kProtocolViolation,
                            "timed out waiting for the rest of a message");
    // Input is pending in the kernel and about to be read: it may be a request.
    if (state_ == State::open && !is_between_requests()) return renew_timeout();
    finish(has_sent_query_ ? metrics::SessionEnd::idle : metrics::SessionEnd::no_query);
}

// ---- Closing ----
void ClientSession::ended(net::ConnectionEnd how) {
    if (how == net::ConnectionEnd::error) return close(metrics::SessionEnd::client_reset);
    input_has_ended_ = true;
    if (state_ == State::finishing) {
        if (connection_->unwritten_bytes() == 0) close(metrics::SessionEnd::client_closed);
        return;
    }
    read_messages();
    if (!responses_.empty() && state_ != State::closed) disconnect_detector_.on_input_ended();
}

void ClientSession::finish_with_error(metrics::SessionEnd reason, std::string_view sqlstate,
                                      std::string_view message) {
    if (is_ending()) return;
    const bool may_respond = framer_.has_partial_message() && !responses_.is_streaming();
    if (!may_respond) return finish(reason);
    fail_session(reason, sqlstate, message);
}

void ClientSession::record_end(metrics::SessionEnd reason) {
    if (std::exchange(end_is_recorded_, true)) return;
    context_.session_metrics.count_end(reason);
}

void ClientSession::fail_requests_and_finish(metrics::SessionEnd reason) {
    if (is_ending()) return;
    if (responses_.is_streaming() && !responses_.has_queries_behind_first()) return finish(reason);
    responses_.fail_all();
    responses_.discard_all();
    disconnect_detector_.stop();
    rejection_ = {reason, 0};
    finishes_without_input_ = true;
    connection_->set_max_unread_bytes(state_ == State::startup ? kMaxUnreadStartupBytes : kMaxUnreadBytes);
    read_messages();
}

void ClientSession::finish_if_rejected() {
    if (finishes_without_input_ && !is_ending() && has_no_input()) finish(rejection_->session_end);
}

void ClientSession::finish(metrics::SessionEnd reason) {
    if (is_ending()) return;
    record_end(reason);
    state_ = State::finishing;
    responses_.discard_all();
    framer_.stop();
    disconnect_detector_.stop();
    resume_reading_.clear();
    if (auto slot = context_.lingering_quota.acquire()) slot_ = std::move(slot);
    connection_->consume(connection_->unread_bytes());
    connection_->set_max_unread_bytes(kMaxUnreadBytes);
    if (connection_->unwritten_bytes() == 0) return linger();
    await_final_write();
}

void ClientSession::await_final_write() {
    timeouts_.await_write_progress(connection_->sent_bytes(), [this] {
        if (timeouts_.write_has_stalled(connection_->sent_bytes()))
            return close(metrics::SessionEnd::write_stalled);
        await_final_write();
    });
}

void ClientSession::linger() {
    if (is_lingering_) return;
    is_lingering_ = true;
    connection_->consume(connection_->unread_bytes());
    connection_->shutdown_write();
    // After the client's FIN no more input can arrive, so there is no need to linger. The close is deferred
    // because the owner may be iterating over its sessions.
    const auto close_lingering = [this] { close(metrics::SessionEnd::client_closed); };
    if (input_has_ended_) return timeouts_.call_soon(close_lingering);
    timeouts_.await_close(context_.linger_deadline, close_lingering);
}

void ClientSession::close(metrics::SessionEnd reason) {
    if (state_ == State::closed) return;
    record_end(reason);
    state_ = State::closed;
    responses_.discard_all();
    framer_.stop();
    timeouts_.clear();
    disconnect_detector_.stop();
    resume_reading_.clear();
    connection_.reset();
    slot_ = net::DescriptorSlot();
    owner_.session_closed(*this);
}

}  // namespace sloestack::downstream
