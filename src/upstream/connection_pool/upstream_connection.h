// The interface of a connection to an endpoint, independent of the protocol. A connection carries one query
// at a time and is never reused while a response to an earlier query may still arrive: abandoning a query
// closes its connection.
#pragma once

#include <functional>
#include <memory>
#include <optional>
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
    // The connection is established and idle for the first time.
    virtual void on_connection_established(UpstreamConnection& connection) = 0;
    // The kernel has taken all of an incomplete query that has been sent.
    virtual void on_query_part_sent(UpstreamConnection& connection) = 0;
    // The kernel has taken the last byte of the query.
    virtual void on_query_sent(UpstreamConnection& connection) = 0;
    // The response is a value too large to be buffered: `size` bytes follow in chunks. Returns false if no
    // request waits for it; the connection has been closed then.
    virtual bool on_value_started(UpstreamConnection& connection, const traffic::ResultValue& head,
                                  std::size_t size) = 0;
    virtual void on_value_chunk(UpstreamConnection& connection, std::string_view bytes) = 0;
    // A part of a response has arrived.
    virtual void on_response_progress(UpstreamConnection& connection) = 0;
    // The response is complete; the connection is idle again.
    virtual void on_response(UpstreamConnection& connection, UpstreamResponse& response) = 0;
    // The connection can no longer be used. `response` holds the part of the response that was received
    // before the failure, with the outcome if that is known; it is empty if the endpoint's data was invalid.
    // `too_many_connections` is true if the endpoint rejected the connection because it has too many.
    virtual void on_connection_failed(UpstreamConnection& connection, UpstreamResponse& response,
                                      bool too_many_connections) = 0;

protected:
    ~UpstreamConnectionEvents() = default;
};

class UpstreamConnection : public traffic::ResponseSource {
public:
    virtual ~UpstreamConnection() = default;

    // Returns false if no socket could be opened; then the connection can only be destroyed.
    virtual bool is_open() const = 0;
    // Returns true if the connection is idle or waits for the response to a query.
    virtual bool is_established() const = 0;
    // Returns true if it has received a complete response.
    virtual bool has_responded_before() const = 0;
    // Returns true if the connection is idle and no unexpected data, FIN or error has arrived, in the
    // kernel's buffer either.
    virtual bool is_reusable() const = 0;
    // Returns true if a long query has been sent on the connection. The endpoint's receive buffer may have
    // grown by it, so that it hides more unread bytes.
    virtual bool has_sent_long_query() const = 0;
    // Sends the statement, with `time_left` in place of the time left that the client stated. A long query
    // stays incomplete until complete_query().
    virtual void send_query(std::shared_ptr<const traffic::Statement> statement, Time now,
                            Micros time_left) = 0;
    // Returns true if the query's last bytes are held back, so that the endpoint cannot execute it.
    virtual bool is_query_incomplete() const = 0;
    // Of an incomplete query: whether all that has been sent has left this host's kernel.
    virtual bool is_query_transmitted() const = 0;
    // Of an incomplete query: returns the time by which the endpoint will have read all that has been sent;
    // std::nullopt if that is not known yet. May send a further byte to learn it.
    virtual std::optional<Time> estimate_read_by(Time now) = 0;
    // Sends the last bytes of an incomplete query, with the time that is left now.
    virtual void complete_query(Micros time_left) = 0;
    // Returns true if the endpoint's kernel has the last byte of the query.
    virtual bool is_query_delivered() const = 0;
    // Requests the endpoint's load report.
    virtual void send_health_check() = 0;
    virtual bool is_paused() const = 0;
    // Returns true if a long part of the response has arrived and the rest is missing.
    virtual bool is_receiving_long_response() const = 0;
    // Returns true if the kernel has taken the last byte of the query, so that it may have been executed.
    virtual bool may_have_executed() const = 0;
    // Fails the connection with an empty response, because the data received is invalid or incomplete.
    virtual void fail_invalid_response() = 0;
    // Releases the socket and its descriptor slot at once, and discards what the endpoint's kernel does not
    // have of a query. The object's functions may still be on the call stack.
    virtual void close() = 0;

    // Used by the owner for the current state: connecting, waiting before reuse, idle, or receiving a
    // response.
    Deadline timeout;
};

// Starts to connect to an endpoint. `events` outlives the connection.
using ConnectionFactory = std::function<std::unique_ptr<UpstreamConnection>(
    const sockaddr_in& address, net::DescriptorSlot slot, UpstreamConnectionEvents& events)>;

}  // namespace sloestack::upstream
