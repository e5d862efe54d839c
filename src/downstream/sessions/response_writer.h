// Writes the responses to one client's queries in the order of the queries. The response to the first open
// query is written as it arrives; responses to later ones are buffered until all before them are written.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "sessions/session_context.h"
#include "sessions/statement_reader.h"
#include "sessions/value_padding.h"
#include "transport/connection.h"

namespace sloestack::downstream {

// The session that a ResponseWriter belongs to.
class ResponseWriterOwner {
public:
    // A part of a response has been written, and more of it follows.
    virtual void response_progressed() = 0;
    // A response has been written and other queries are open. Input that was waiting may be read now.
    virtual void response_written() = 0;
    // The last open query has its response.
    virtual void all_responses_written() = 0;
    // A response that was written in part will not be completed, and no query is open behind it. The
    // connection must be closed, which is the only sign of that for the client.
    virtual void response_incomplete() = 0;
    // Returns whether the client has sent more than the open queries.
    virtual bool has_unread_input() const = 0;
    virtual traffic::ClientPresence client_presence() = 0;

protected:
    ~ResponseWriterOwner() = default;
};

class ResponseWriter {
public:
    // `connection` is null if it could not be opened. Without a connection, or once it is closed, only the
    // destructor may be called. `context` and `owner` outlive the writer.
    ResponseWriter(SessionContext& context, ResponseWriterOwner& owner, net::Connection* connection)
        : context_(context), owner_(owner), connection_(connection) {}
    ~ResponseWriter() { discard_all(); }
    ResponseWriter(const ResponseWriter&) = delete;
    ResponseWriter& operator=(const ResponseWriter&) = delete;

    // Submits a request to the dispatcher and opens a query for it.
    void submit(ParsedStatement statement);
    // Writes `bytes` as a response that follows those to all open queries.
    void respond(std::string bytes, int request_class = kUnknownRequestClass);

    bool empty() const { return queries_.empty(); }
    std::size_t size() const { return queries_.size(); }
    int last_request_class() const { return queries_.back()->request_class; }
    // Returns true while a response is being streamed; nothing else may be written then.
    bool is_streaming() const { return !queries_.empty() && queries_.front()->source; }
    // Returns whether the client has sent queries after the first open one.
    bool has_queries_behind_first() const { return queries_.size() > 1 || owner_.has_unread_input(); }
    // Resumes the source of a streamed response, once the kernel has taken what was written.
    void resume_stream() { queries_.front()->source->set_paused(false); }
    Time last_response_at() const { return last_response_at_; }

    // Responds to the first query with an error that it was canceled, and cancels its request. Its response
    // must not be streaming.
    void cancel_first();
    // Writes all buffered responses, and an error for each query without a response, whose request it
    // cancels. A response that is being streamed is filled up, so that the client reads the error as its end.
    void fail_all();
    // Discards all open queries and cancels their requests.
    void discard_all();

private:
    struct Query final : traffic::ResponseSink, ValuePaddingEvents {
        Query(ResponseWriter& owner, int class_index) : writer(owner), request_class(class_index) {}
        void on_value(const traffic::ResultValue& value) override { writer.on_value(*this, value); }
        void on_value_started(const traffic::ResultValue& head, std::size_t size,
                              traffic::ResponseSource& value_source) override {
            writer.on_value_started(*this, head, size, value_source);
        }
        void on_value_chunk(std::string_view bytes) override { writer.on_value_chunk(*this, bytes); }
        void on_value_completed(const std::string& command_tag) override {
            writer.on_value_completed(*this, command_tag);
        }
        void on_value_aborted() override { writer.on_value_aborted(*this); }
        void on_rejected(Micros retry_after) override { writer.on_rejected(*this, retry_after); }
        void on_failed() override { writer.on_failed(*this); }
        traffic::ClientPresence client_presence() override { return writer.client_presence(*this); }
        void on_padding(std::string_view bytes) override { writer.on_value_chunk(*this, bytes); }
        void on_padding_completed() override { writer.on_padding_completed(*this); }

        ResponseWriter& writer;
        traffic::RequestId request = 0;  // 0 once it has its response or is cancelled
        int request_class;
        std::string id;  // of the request, given by the client
        Time submitted_at = 0;
        // The response, or the head of a streamed one, until the responses before it are written.
        std::string buffered_response;
        traffic::ResponseSource* source = nullptr;  // of a streamed response
        std::size_t value_bytes_left = 0;           // of that response
        std::unique_ptr<ValuePadding> padding;      // the source, once the endpoint has failed
    };

    // How a request has ended, which decides whether its id may be used again.
    enum class RequestEnd {
        not_executed,  // it was rejected
        responded,     // no attempt of it is running any more, unless it failed
        abandoned,     // an attempt of it may be running
    };

    void on_value(Query& query, const traffic::ResultValue& value);
    void on_value_started(Query& query, const traffic::ResultValue& head, std::size_t size,
                          traffic::ResponseSource& source);
    void on_value_chunk(Query& query, std::string_view bytes);
    void on_value_completed(Query& query, const std::string& command_tag);
    void on_value_aborted(Query& query);
    void on_padding_completed(Query& query);
    void on_rejected(Query& query, Micros retry_after);
    void on_failed(Query& query);
    traffic::ClientPresence client_presence(const Query& query);

    bool is_first(const Query& query) const { return queries_.front().get() == &query; }
    // Completes the query's response with `bytes`. Writes it and destroys the query if it is the first one,
    // otherwise buffers it.
    void complete(Query& query, std::string bytes, RequestEnd end = RequestEnd::responded);
    void continue_with_next();
    // Writes the rest of a streamed value at once, as zero bytes.
    void fill_up(Query& query);
    void buffer_response(Query& query, std::string bytes);
    std::string take_buffered_response(Query& query);
    // Detaches the query from its request. Returns the request's id, or 0 if it was detached before.
    traffic::RequestId detach_request(Query& query, RequestEnd end);
    bool may_execute_again(const Query& query, RequestEnd end) const;
    void cancel_request(Query& query);

    SessionContext& context_;
    ResponseWriterOwner& owner_;
    net::Connection* connection_;
    std::deque<std::unique_ptr<Query>> queries_;  // open queries in the order they were received
    Time last_response_at_ = 0;
};

}  // namespace sloestack::downstream
