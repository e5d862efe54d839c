// One client connection, from its start-up packet to its close: reads the client's queries and writes the
// responses in the order of the queries. PostgreSQL executes the queries of a connection one after the other.
// Here a read that follows other reads is forwarded while those are still open, which the client cannot
// notice.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

#include "sessions/client_framer.h"
#include "sessions/disconnect_detector.h"
#include "sessions/response_writer.h"
#include "sessions/session_context.h"
#include "sessions/session_timeouts.h"
#include "sessions/statement_reader.h"

namespace sloestack::downstream {

constexpr Micros kRetryAfterWhenBusyUs = 1'000'000;

class ClientSessionOwner {
public:
    // A message of the client has been read.
    virtual void session_used(ClientSession& session) = 0;
    // The connection is closed. The session's functions may still be on the call stack.
    virtual void session_closed(ClientSession& session) = 0;

protected:
    ~ClientSessionOwner() = default;
};

class ClientSession final : public net::ConnectionEvents,
                            private ResponseWriterOwner,
                            private DisconnectDetectorOwner {
public:
    // Takes ownership of the socket `fd`, which is counted by `slot`. The client may have connected, and sent
    // its first input, as early as `connected_since`. With `reject_requests`, the first request is rejected
    // and the session is finished. `context` and `owner` outlive the session.
    ClientSession(SessionContext& context, ClientSessionOwner& owner, evutil_socket_t fd,
                  net::DescriptorSlot slot, Time connected_since, bool reject_requests);
    ~ClientSession();
    ClientSession(const ClientSession&) = delete;
    ClientSession& operator=(const ClientSession&) = delete;

    // Returns false if the connection could not be set up; then the session can only be destroyed.
    bool is_open() const { return connection_ != nullptr; }
    bool has_sent_query() const { return has_sent_query_; }
    // Returns true if no request is open and no input is waiting to be read, so that closing loses no
    // request.
    bool is_between_requests() const;
    // The same after the client's first query or later, and the kernel has taken the last response.
    bool is_idle_after_query() const;
    // Returns true if the client has been connected for a while and has sent no query, not even part of one.
    bool is_idle_before_first_query() const;
    // Returns true if the client connected after `connected_after` and has sent no query.
    bool awaits_first_query(Time connected_after) const {
        return !has_sent_query_ && timeouts_.connected_at() > connected_after;
    }
    // Returns true if the client has sent a part of a message and has been silent since.
    bool is_stalled_in_message() const;
    bool is_ending() const { return state_ == State::finishing || state_ == State::closed; }
    bool is_lingering() const { return is_lingering_; }
    // Returns the time of the connect, the last read or the last response, whichever is latest.
    Time last_active_at() const;

    // Responds to open requests with an error. Queries that the client has sent behind them are rejected as
    // they are read, and the session finishes once no input is left. Finishes at once if a response is being
    // streamed, because nothing can be written behind it.
    void fail_requests_and_finish(metrics::SessionEnd reason);
    // Starts a lingering close: sends all written bytes, then a FIN, and discards further input until the
    // client closes too or a time-out expires. Closing a socket with unread input would send a RST, on which
    // the client may lose the last response. Requests that arrive from now on get no response; the client may
    // send them again on another connection.
    void finish(metrics::SessionEnd reason);
    // The same, but a client in the middle of a message gets an error with this SQLSTATE first.
    void finish_with_error(metrics::SessionEnd reason, std::string_view sqlstate, std::string_view message);
    // Closes at once, for a failed connection or a lingering close that takes too long.
    void close(metrics::SessionEnd reason);
    // Handles the client's CancelRequest, which arrives on another connection.
    void cancel();

    void received() override;
    void drained() override;
    void ended(net::ConnectionEnd how) override;

private:
    enum class State { startup, open, finishing, closed };
    // Why all further queries are rejected, and the Retry-After that the client gets.
    struct Rejection {
        metrics::SessionEnd session_end;
        Micros retry_after;
    };

    void response_progressed() override { renew_timeout(); }
    void response_written() override { read_messages(); }
    void all_responses_written() override;
    void response_incomplete() override { finish(metrics::SessionEnd::response_cut); }
    bool has_unread_input() const override { return framer_.has_partial_message(); }
    traffic::ClientPresence client_presence() override { return disconnect_detector_.client_presence(); }

    bool input_has_ended() const override { return input_has_ended_; }
    bool input_is_paused() const override;
    bool waits_for_response() const override { return !responses_.empty(); }
    bool is_streaming_response() const override { return responses_.is_streaming(); }
    void on_client_disconnected() override { close(metrics::SessionEnd::client_reset); }

    void read_messages();
    // Each returns true if it has read a message and the next one may be read.
    bool read_message();
    bool read_small_message();
    bool begin_large_statement(std::size_t size);
    bool continue_large_statement();
    bool next_query_may_overlap() const;
    bool has_no_input() const;
    // Returns true while no input is read because the client is slow to read its responses.
    bool is_output_full() const;
    // Returns how long the newest input may have waited in the kernel.
    Micros input_age() const;

    void handle_startup(const pgwire::Message& message);
    void handle_message(const pgwire::Message& message);
    void handle_query(std::string text, std::shared_ptr<void> memory = {});
    void reject_statement(const StatementError& error);
    void reject_request(int request_class, Micros retry_after);
    // Rejects a query because all of them are rejected.
    void reject_query(int request_class);
    void reject_skipped_statement();
    void finish_if_rejected();
    void respond_with_error(std::string_view sqlstate, std::string_view message);
    void fail_session(metrics::SessionEnd reason, std::string_view sqlstate, std::string_view message);

    void renew_timeout();
    void on_timeout();
    void record_end(metrics::SessionEnd reason);
    void await_final_write();
    void linger();

    SessionContext& context_;
    ClientSessionOwner& owner_;
    net::DescriptorSlot slot_;
    const Time connected_since_;
    std::optional<Rejection> rejection_;
    bool finishes_without_input_ = false;  // once `rejection_` has been sent, or at a stop
    State state_ = State::startup;
    bool skip_to_sync_ = false;  // after an error in the extended query protocol
    bool input_has_ended_ = false;
    bool is_reading_ = false;
    bool is_lingering_ = false;  // finishing, and the FIN has been sent
    bool has_sent_query_ = false;
    bool end_is_recorded_ = false;
    CancelKey cancel_key_;
    Time message_arrived_at_ = 0;  // arrival of the last byte of the message read last
    StatementReader statements_;
    SessionTimeouts timeouts_;
    Deadline resume_reading_;
    std::unique_ptr<net::Connection> connection_;  // null once closed; the members below refer to it
    ClientFramer framer_;
    ResponseWriter responses_;
    DisconnectDetector disconnect_detector_;
};

}  // namespace sloestack::downstream
