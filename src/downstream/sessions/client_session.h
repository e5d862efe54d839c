// One client's connection, from its start-up packet to its end: reads its queries and has them answered in
// their order. PostgreSQL runs the queries of a connection one after the other; reads that follow reads are
// begun here while those before them are open, which a client cannot tell apart.
#pragma once

#include <algorithm>
#include <memory>
#include <string>

#include "sessions/client_framer.h"
#include "sessions/disconnect_detector.h"
#include "sessions/response_writer.h"
#include "sessions/session_context.h"
#include "sessions/session_timeouts.h"
#include "sessions/statement_reader.h"

namespace sloestack::downstream {

class ClientSessionOwner {
public:
    // The client has sent a message.
    virtual void session_used(ClientSession& session) = 0;
    // The connection is closed. The session may still be on the call stack.
    virtual void session_closed(ClientSession& session) = 0;

protected:
    ~ClientSessionOwner() = default;
};

class ClientSession final : public net::ConnectionEvents,
                            private ResponseWriterOwner,
                            private DisconnectDetectorOwner {
public:
    // Takes over the socket `fd`, for which `slot` stands. Where `reject_requests`, each request is rejected
    // and the session then closed. `context` and `owner` outlive the session.
    ClientSession(SessionContext& context, ClientSessionOwner& owner, evutil_socket_t fd,
                  net::DescriptorSlot slot, bool reject_requests);
    ~ClientSession();
    ClientSession(const ClientSession&) = delete;
    ClientSession& operator=(const ClientSession&) = delete;

    // False where the connection could not be set up; then the session can only be destroyed.
    bool is_open() const { return connection_ != nullptr; }
    bool has_sent_query() const { return has_sent_query_; }
    // No request is open and nothing of the client's waits to be read: to close loses no request.
    bool is_between_requests() const;
    // The same, and the client has taken its last response.
    bool is_idle() const;
    // Connected for a while and has sent no query, nor part of one.
    bool is_idle_before_first_query() const;
    bool is_ending() const { return state_ == State::finishing || state_ == State::closed; }
    bool is_lingering() const { return is_lingering_; }
    // When it connected, was read from or had a response, whichever is latest.
    Time last_active_at() const;

    // Answers open requests with an error and finishes.
    void fail_requests_and_finish();
    // Ends the connection by a lingering close: what is written leaves, then the end of our side is sent, and
    // what still comes is dropped until the client closes too or a time limit is over. To close over unread
    // input would send a reset, which can destroy the last response. Requests that come from now on are not
    // answered; their sender may retry them on another connection.
    void finish();
    // Closes at once: for a broken connection, or where a lingering close takes too long.
    void close();
    // The client's request to cancel, from another connection.
    void cancel();

    void received() override;
    void drained() override;
    void ended(net::ConnectionEnd how) override;

private:
    enum class State { startup, open, finishing, closed };

    void response_progressed() override { renew_timeout(); }
    void response_written() override { read_messages(); }
    void all_responses_written() override;
    void response_incomplete() override { finish(); }
    bool client_disconnected() override { return disconnect_detector_.client_disconnected(); }

    bool input_has_ended() const override { return input_has_ended_; }
    bool input_is_paused() const override;
    bool waits_for_response() const override { return !responses_.empty(); }
    bool is_streaming_response() const override { return responses_.is_streaming(); }
    void on_client_disconnected() override { close(); }

    void read_messages();
    // These return whether a message has been read and more may follow.
    bool read_message();
    bool read_small_message();
    bool begin_large_statement(std::size_t size);
    bool continue_large_statement();
    bool next_query_may_overlap() const;
    bool has_no_input() const;

    void handle_startup(std::string_view body);
    void handle_message(const pgwire::Message& message);
    void handle_query(std::string text, std::shared_ptr<void> memory = {});
    void reject_statement(const StatementError& error);
    void reject_request(int request_class, Micros retry_after);
    void respond_with_error(std::string_view sqlstate, std::string_view message);
    void fail_session(std::string_view sqlstate, std::string_view message);

    void renew_timeout();
    void on_timeout();
    void await_final_write();
    void linger();

    SessionContext& context_;
    ClientSessionOwner& owner_;
    net::DescriptorSlot slot_;
    const bool reject_requests_;
    State state_ = State::startup;
    bool skip_to_sync_ = false;  // after an error in the extended query protocol
    bool input_has_ended_ = false;
    bool is_reading_ = false;
    bool is_lingering_ = false;  // finishing, and all has been written
    bool has_sent_query_ = false;
    CancelKey cancel_key_;
    Time message_arrived_at_ = 0;  // the last byte of the message read last
    StatementReader statements_;
    SessionTimeouts timeouts_;
    Deadline resume_reading_;
    std::unique_ptr<net::Connection> connection_;  // null once closed; the members below refer to it
    ClientFramer framer_;
    ResponseWriter responses_;
    DisconnectDetector disconnect_detector_;
};

}  // namespace sloestack::downstream
