// Writes the responses to one client's queries in the order in which they were asked. The response of the
// first open query is written as it comes; those of later ones are held until all before them are written.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "sessions/session_context.h"
#include "sessions/statement_reader.h"
#include "transport/connection.h"

namespace sloestack::downstream {

// The session that a ResponseWriter belongs to.
class ResponseWriterOwner {
public:
    // Part of a response has been written and more of it follows.
    virtual void response_progressed() = 0;
    // A response has been written and other queries are open: input that waited may be read now.
    virtual void response_written() = 0;
    // No query is open any more.
    virtual void all_responses_written() = 0;
    // The client can tell only by the end of the connection that its response is incomplete.
    virtual void response_incomplete() = 0;
    virtual bool client_disconnected() = 0;

protected:
    ~ResponseWriterOwner() = default;
};

class ResponseWriter {
public:
    // `connection` may be null where it could not be opened; then nothing but the destructor may be called,
    // as after the connection is closed. The writer owns neither, nor the context; all outlive its last use.
    ResponseWriter(SessionContext& context, ResponseWriterOwner& owner, net::Connection* connection)
        : context_(context), owner_(owner), connection_(connection) {}
    ~ResponseWriter() { discard_all(); }
    ResponseWriter(const ResponseWriter&) = delete;
    ResponseWriter& operator=(const ResponseWriter&) = delete;

    // Hands a request to the dispatcher and opens a query for it.
    void submit(ParsedStatement statement);
    // Writes `bytes` behind the responses to all open queries.
    void respond(std::string bytes, int request_class = kUnknownRequestClass);

    bool empty() const { return queries_.empty(); }
    std::size_t size() const { return queries_.size(); }
    int last_request_class() const { return queries_.back()->request_class; }
    // Whether a response is being written in pieces: nothing else may be written meanwhile.
    bool is_streaming() const { return !queries_.empty() && queries_.front()->source; }
    // Lets the source of a streamed response go on, once the client has taken what was written.
    void resume_stream() { queries_.front()->source->set_paused(false); }
    Time last_response_at() const { return last_response_at_; }

    // Answers the first query as canceled and cancels its request. It must not be streaming.
    void cancel_first();
    // Answers all queries at once, those without a response with an error, and cancels their requests.
    // Nothing is written behind an incomplete response.
    void fail_all();
    // Drops all queries without a response and cancels their requests.
    void discard_all();

private:
    struct Query final : traffic::ResponseSink {
        Query(ResponseWriter& of, int its_class) : writer(of), request_class(its_class) {}
        void on_value(const traffic::ResultValue& value) override { writer.on_value(*this, value); }
        void on_value_started(const traffic::ResultValue& head, std::size_t size,
                              traffic::ResponseSource& from) override {
            writer.on_value_started(*this, head, size, from);
        }
        void on_value_chunk(std::string_view bytes) override { writer.on_value_chunk(*this, bytes); }
        void on_value_completed(const std::string& command_tag) override {
            writer.on_value_completed(*this, command_tag);
        }
        void on_value_aborted() override { writer.on_value_aborted(*this); }
        void on_rejected(Micros retry_after) override { writer.on_rejected(*this, retry_after); }
        void on_failed() override { writer.on_failed(*this); }
        bool client_disconnected() override { return writer.owner_.client_disconnected(); }

        ResponseWriter& writer;
        traffic::RequestId request = 0;  // 0 once it is answered or cancelled
        int request_class;
        std::string id;                             // the client's name for the request
        std::string held_response;                  // or the head of one, until those before it are written
        traffic::ResponseSource* source = nullptr;  // of a response in pieces
    };

    void on_value(Query& query, const traffic::ResultValue& value);
    void on_value_started(Query& query, const traffic::ResultValue& head, std::size_t size,
                          traffic::ResponseSource& source);
    void on_value_chunk(Query& query, std::string_view bytes);
    void on_value_completed(Query& query, const std::string& command_tag);
    void on_value_aborted(Query& query);
    void on_rejected(Query& query, Micros retry_after);
    void on_failed(Query& query);

    bool is_first(const Query& query) const { return queries_.front().get() == &query; }
    // The query has its response; destroys it where that could be written.
    void complete(Query& query, std::string bytes);
    void continue_with_next();
    void hold(Query& query, std::string bytes);
    std::string take_held(Query& query);
    // Detaches the query from its request, whose number is returned; 0 where it had none any more.
    traffic::RequestId release(Query& query);
    void cancel_request(Query& query);

    SessionContext& context_;
    ResponseWriterOwner& owner_;
    net::Connection* connection_;
    std::deque<std::unique_ptr<Query>> queries_;  // in the order they were asked
    Time last_response_at_ = 0;
};

}  // namespace sloestack::downstream
