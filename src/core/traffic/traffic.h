// What passes between clients, decisions and members, in no protocol's words. A protocol's client side turns
// what it reads into Requests and answers them; a member side carries Attempts out and reports how they
// ended. The proxy joins the two round the decision module and knows neither by more than these interfaces,
// so that a client side of one protocol can stand before a member side of another.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::traffic {

using decision::EndpointId;
using decision::Micros;
using decision::RequestId;
using decision::Time;

// The statement as the client worded it, and where in it the time left stands: the one part that changes on
// its way to a member.
struct Statement {
    std::string text;
    std::size_t left_at = 0, left_size = 0;
    // What it takes of the bytes allowed, where it is large; given back with it.
    std::shared_ptr<void> room = {};

    static std::string time_left(Micros left);
    std::string with_time_left(Micros left) const;
};

struct Request {
    decision::Arrival arrival;  // the proxy gives it its number
    std::shared_ptr<const Statement> statement;
};

// The one row of one column that a member answered with.
struct Value {
    std::string column, bytes, tag;
    std::uint32_t type = 0;
    bool null = false, binary = false;
};

struct Attempt {
    RequestId request = 0;
    int number = 0;
    int request_class = 0;
    EndpointId endpoint = 0;
    std::shared_ptr<const Statement> statement;
    Time give_up_at = 0;
    std::optional<Time> begin_by = {};  // its first byte is written by then or never
};

// Where an answer passed on in pieces comes from.
class Source {
public:
    // Whether it is to give nothing for now: its taker has enough to do.
    virtual void hold(bool on) = 0;

protected:
    ~Source() = default;
};

// ---- the client side ----
class ResponseSink {  // one that waits for the answer to one request
public:
    virtual void served(const Value& value) = 0;
    // The value follows in pieces, `size` bytes in all; `head` has all of it but its bytes and tag. The
    // source lives until finished or cut off.
    virtual void begun(const Value& head, std::size_t size, Source& source) = 0;
    virtual void piece(std::string_view bytes) = 0;
    virtual void finished(const std::string& tag) = 0;
    virtual void cut_off() = 0;  // no more comes, and what has come is worth nothing
    virtual void refused(Micros retry_after) = 0;
    virtual void failed() = 0;
    // Whether its client has gone, by a look at the connection as it is now: callbacks may not have told yet.
    virtual bool has_left() = 0;

protected:
    ~ResponseSink() = default;
};
class RequestDispatcher {  // where client sides hand requests in; kept by the proxy
public:
    // Nothing is answered before the turn is over. The sink must live until it is answered or withdraws.
    virtual RequestId take(Request request, ResponseSink& sink) = 0;
    virtual void withdraw(RequestId request) = 0;  // the client has gone
    virtual bool able_to_serve() const = 0;
    virtual bool knows_group(int group) const = 0;

protected:
    ~RequestDispatcher() = default;
};

// ---- the member side ----
class Members {
public:
    virtual ~Members() = default;
    virtual void send(const Attempt& attempt) = 0;
    virtual void cancel(RequestId request, int number) = 0;
    virtual void probe(EndpointId server) = 0;
};
class Results {  // told how attempts and probes ended, each exactly once; kept by the proxy
public:
    // An answer too large to be gathered: its bytes follow in pieces, and its end as that of any attempt,
    // with a value that holds the tag. False where nobody wants it any more.
    virtual bool answer_started(const decision::AnswerStarted& start, const Value& head, std::size_t size,
                                Source& source) = 0;
    virtual void piece(RequestId request, std::string_view bytes) = 0;
    // `value` is there if and only if the outcome is ok.
    virtual void attempt_ended(const decision::AttemptEnded& end, std::optional<Value> value) = 0;
    virtual void probe_ended(const decision::HealthCheckEnded& end) = 0;
    // Whether the request still waits for its answer and its client is there: asked again before an attempt's
    // first byte. A request whose client has left is withdrawn by that.
    virtual bool still_wanted(RequestId request) = 0;

protected:
    ~Results() = default;
};

// ---- the list of members ----
struct Entry {
    std::string name = {};  // as discovery has it
    decision::EndpointEntry endpoint;
    std::string address;
};
class ListReader {
public:
    // The kind is not failed.
    virtual void listed(decision::EndpointListKind kind, std::vector<Entry> entries) = 0;
    virtual void call_failed(const decision::FailedPoll& call) = 0;

protected:
    ~ListReader() = default;
};

}  // namespace sloestack::traffic
