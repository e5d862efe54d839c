// How a client session handles the messages of PostgreSQL's protocol.
#include "pgwire/build.h"
#include "pgwire/statement.h"
#include "sessions/client_session.h"
#include "sessions/response_messages.h"

namespace sloestack::downstream {
void ClientSession::handle_startup(const pgwire::Message& message) {
    const auto startup = pgwire::read_startup(message.body);
    if (startup.kind == pgwire::StartupKind::encryption) return responses_.respond("N");
    if (startup.kind == pgwire::StartupKind::cancel) {
        // As in PostgreSQL, a CancelRequest gets no response here; the canceled query does, in its own
        // session.
        const CancelKey key{startup.process, startup.secret};
        if (!context_.cancel_keys.cancel(key)) context_.forward_cancel_request(key);
        return finish(metrics::SessionEnd::cancel_request);
    }
    // A client that was greeted now would send its first query while the connection is being closed.
    const bool is_followed_by_query =
        connection_->unread_bytes() > message.size || !connection_->has_nothing_to_read();
    if (finishes_without_input_ && !is_followed_by_query)
        return fail_session(rejection_->session_end, pgwire::code::kCannotConnectNow,
                            "the proxy is stopping");
    state_ = State::open;
    connection_->set_max_unread_bytes(kMaxUnreadBytes);
    responses_.respond(greeting(cancel_key_, startup.minor > 0));
}

void ClientSession::handle_message(const pgwire::Message& message) {
    if (skip_to_sync_ && message.type != 'S' && message.type != 'X') return;
    switch (message.type) {
        case 'Q': {
            pgwire::FieldReader fields(message.body);
            const auto text = fields.text();
            if (!fields.empty())
                throw pgwire::ProtocolError("Query message has bytes after its terminating zero byte");
            return handle_query(std::string(text));
        }
        case 'X':
            return finish(metrics::SessionEnd::client_closed);
        case 'S':
            skip_to_sync_ = false;
            return responses_.respond(ready_for_query());
        case 'H':
            return;
        case 'P':
        case 'B':
        case 'D':
        case 'E':
        case 'C':
        case 'F':
            skip_to_sync_ = message.type != 'F';
            return responses_.respond(unsupported_message_response(message.type));
        default:
            throw pgwire::ProtocolError("unknown message type");
    }
}

void ClientSession::handle_query(std::string text, std::shared_ptr<void> memory) {
    has_sent_query_ = true;
    if (pgwire::is_blank(text)) {
        // Load balancers use an empty query as a readiness check.
        if (!context_.dispatcher.has_ready_endpoints())
            return respond_with_error(pgwire::code::kCannotConnectNow, "no endpoint is known yet");
        return responses_.respond(empty_query_response());
    }
    if (rejection_) return reject_query(statements_.request_class_of(text));
    auto result = statements_.read(std::move(text), std::move(memory), message_arrived_at_);
    if (const auto* error = std::get_if<StatementError>(&result)) return reject_statement(*error);
    auto& statement = std::get<ParsedStatement>(result);
    // An endpoint that drops duplicates cannot distinguish two requests with the same id.
    if (!context_.request_ids.open(statement.id, context_.deadlines.now())) {
        context_.metrics.count_response(statement.request.arrival.request_class,
                                        metrics::ResponseKind::failed);
        return respond_with_error(pgwire::code::kInvalidParameter,
                                  "a request with this id is open or may have run");
    }
    context_.report_request_id(hash_name(statement.id));
    connection_->set_max_unread_bytes(kMaxUnreadBehindRequestBytes);
    responses_.submit(std::move(statement));
}

void ClientSession::reject_query(int request_class) {
    finishes_without_input_ = true;
    reject_request(request_class, rejection_->retry_after);
}

void ClientSession::reject_skipped_statement() {
    if (rejection_) return reject_query(kUnknownRequestClass);
    reject_request(kUnknownRequestClass, kRetryAfterWhenBusyUs);
}

void ClientSession::reject_statement(const StatementError& error) {
    switch (error.kind) {
        case StatementError::Kind::malformed:
        case StatementError::Kind::unknown_class:
            return respond_with_error(pgwire::code::kInvalidParameter, error.message);
        case StatementError::Kind::unknown_replica_group:
            context_.metrics.count_response(error.request_class, metrics::ResponseKind::rejected);
            return responses_.respond(error_response(pgwire::code::kCannotConnectNow,
                                                     "no endpoint of this cluster is known",
                                                     kRetryAfterWhenBusyUs));
        case StatementError::Kind::deadline_exceeded:
            context_.metrics.count_unserved(error.request_class,
                                            decision::RejectionReason::deadline_exceeded);
            return reject_request(error.request_class, 0);
    }
}

// A rejection that waits for the responses to open reads counts as a query of its class, so that reads after
// it may overlap.
void ClientSession::reject_request(int request_class, Micros retry_after) {
    context_.metrics.count_response(request_class, metrics::ResponseKind::rejected);
    responses_.respond(rejection_response(retry_after), request_class);
}

void ClientSession::respond_with_error(std::string_view sqlstate, std::string_view message) {
    responses_.respond(error_response(sqlstate, message));
}

void ClientSession::fail_session(metrics::SessionEnd reason, std::string_view sqlstate,
                                 std::string_view message) {
    responses_.respond(fatal_error(sqlstate, message));
    finish(reason);
}

}  // namespace sloestack::downstream
