// One connection to an endpoint, whatever protocol it speaks. It carries one query at a time and is never
// reused while a response to an earlier query may still arrive: to give a query up is to close its
// connection.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "connection_pool/upstream_response.h"
#include "deadlines/deadlines.h"
#include "traffic/response.h"
#include "traffic/statement.h"
#include "transport/connection.h"
#include "transport/descriptor_quota.h"

namespace sloestack::upstream {

class UpstreamConnection;

class UpstreamConnectionEvents {
public:
    // Established, and idle for the first time.
    virtual void on_connection_established(UpstreamConnection& connection) = 0;
    // The last byte of its query has been written.
    virtual void on_query_sent(UpstreamConnection& connection) = 0;
    // A value too large to be buffered: `size` bytes follow in chunks. Returns false where nobody waits for
    // it; the connection is closed then.
    virtual bool on_value_started(UpstreamConnection& connection, const traffic::ResultValue& head,
                                  std::size_t size) = 0;
    virtual void on_value_chunk(UpstreamConnection& connection, std::string_view bytes) = 0;
    // A part of the response has arrived.
    virtual void on_response_progress(UpstreamConnection& connection) = 0;
    // The response is complete; the connection is idle again.
    virtual void on_response(UpstreamConnection& connection, UpstreamResponse& response) = 0;
    // The connection can no longer be used. `response` holds the outcome where the query had one before the
    // failure; it is empty where what arrived was invalid. `too_many_connections`: the endpoint said so.
    virtual void on_connection_failed(UpstreamConnection& connection, UpstreamResponse& response,
                                      bool too_many_connections) = 0;

protected:
    ~UpstreamConnectionEvents() = default;
};

class UpstreamConnection : public traffic::ResponseSource {
public:
    virtual ~UpstreamConnection() = default;

    // False where no socket could be opened; then it can only be destroyed.
    virtual bool is_open() const = 0;
    // Idle, or with a query out.
    virtual bool is_established() const = 0;
    virtual bool has_answered_before() const = 0;
    // Idle, and nothing has arrived that belongs to no query, also none that is still in the kernel.
    virtual bool is_reusable() const = 0;
    // `time_left` goes into the statement in place of what the client stated.
    virtual void send_query(std::shared_ptr<const traffic::Statement> statement, Micros time_left) = 0;
    // Asks for the endpoint's load report.
    virtual void send_health_check() = 0;
    // Whether its response is a value that arrives in chunks.
    virtual bool is_streaming() const = 0;
    virtual bool is_paused() const = 0;
    // Whether the last byte of its query has been written, so that it may have been executed.
    virtual bool may_have_executed() const = 0;
    // Fails the connection, with an empty response: what arrived is invalid or incomplete.
    virtual void fail_invalid_response() = 0;
    // Frees socket and descriptor at once; the object may still be on the call stack.
    virtual void close() = 0;

    // Of its owner, for what the connection is doing: connecting, resting, idle, or receiving a response.
    Deadline timeout;
};

// Begins to connect to an endpoint. `events` outlives the connection.
using ConnectionFactory = std::function<std::unique_ptr<UpstreamConnection>(
    const sockaddr_in& address, net::DescriptorSlot slot, UpstreamConnectionEvents& events)>;

}  // namespace sloestack::upstream
