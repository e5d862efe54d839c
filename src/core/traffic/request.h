// How the client side hands requests to the dispatch loop.
#pragma once

#include <memory>

#include "traffic/response.h"
#include "traffic/statement.h"
#include "traffic/types.h"

namespace sloestack::traffic {

struct Request {
    decision::Arrival arrival;  // its request id is assigned by RequestDispatcher::submit
    std::shared_ptr<const Statement> statement;
};

class RequestDispatcher {
public:
    // Returns the request's id. `sink` gets nothing before this iteration of the event loop ends, and must
    // live until its response is complete or the request is cancelled.
    virtual RequestId submit(Request request, ResponseSink& sink) = 0;
    // The client has disconnected or asked to cancel: `sink` gets nothing more. Does nothing for a request
    // that has been answered.
    virtual void cancel_request(RequestId request) = 0;
    virtual bool has_ready_endpoints() const = 0;
    // Whether discovery has ever listed an endpoint of this replica group.
    virtual bool knows_replica_group(int replica_group) const = 0;

protected:
    ~RequestDispatcher() = default;
};

}  // namespace sloestack::traffic
