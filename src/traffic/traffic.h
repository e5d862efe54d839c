// What passes between clients, decisions and members, in no protocol's words. A protocol's client side turns
// what it reads into Requests and answers them; a member side carries Attempts out and reports how they
// ended. The proxy joins the two round the decision module and knows neither by more than these interfaces,
// so that a client side of one protocol can stand before a member side of another.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "nettletrestle/router.h"

namespace sloestack::traffic {

using nettletrestle::Micros;
using nettletrestle::RequestId;
using nettletrestle::ServerId;
using nettletrestle::Time;

// The statement as the client worded it, and where in it the time left stands: the one part that changes on
// its way to a member.
struct Statement {
    std::string text;
    std::size_t left_at = 0, left_size = 0;

    std::string with_time_left(Micros left) const;
};

struct Request {
    nettletrestle::Arrival arrival;  // the proxy gives it its number
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
    int klass = 0;
    ServerId server = 0;
    std::shared_ptr<const Statement> statement;
    Time give_up_at = 0;
};

// ---- the client side ----
class Asker {  // one that waits for the answer to one request
public:
    virtual void served(const Value& value) = 0;
    virtual void refused(Micros retry_after) = 0;
    virtual void failed() = 0;

protected:
    ~Asker() = default;
};
class Desk {  // where client sides hand requests in; kept by the proxy
public:
    // Nothing is answered before the turn is over. The asker must live until it is answered or withdraws.
    virtual RequestId take(Request request, Asker& asker) = 0;
    virtual void withdraw(RequestId request) = 0;  // the client has gone
    virtual bool able_to_serve() const = 0;
    virtual bool knows_group(int group) const = 0;

protected:
    ~Desk() = default;
};

// ---- the member side ----
class Members {
public:
    virtual ~Members() = default;
    virtual void send(const Attempt& attempt) = 0;
    virtual void cancel(RequestId request, int number) = 0;
    virtual void probe(ServerId server) = 0;
};
class Results {  // told how attempts and probes ended, each exactly once; kept by the proxy
public:
    // `value` is there if and only if the outcome is ok.
    virtual void attempt_ended(const nettletrestle::AttemptEnded& end, std::optional<Value> value) = 0;
    virtual void probe_ended(const nettletrestle::ProbeEnded& end) = 0;
    // Whether the request still waits for its answer: asked again before an attempt's first byte.
    virtual bool still_wanted(RequestId request) const = 0;

protected:
    ~Results() = default;
};

// ---- the list of members ----
struct Entry {
    std::string name = {};  // as discovery has it
    nettletrestle::ServerEntry server;
    std::string address;
};
class ListReader {
public:
    // `entries` is empty where the kind is failed.
    virtual void listed(nettletrestle::ListKind kind, std::vector<Entry> entries) = 0;

protected:
    ~ListReader() = default;
};

}  // namespace sloestack::traffic
