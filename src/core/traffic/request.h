// Interface by which the client side submits requests to the dispatch loop.
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
    // Returns the request's id. `sink` is not called before the current event-loop iteration ends, and must
    // live until its response is complete or the request is cancelled.
    virtual RequestId submit(Request request, ResponseSink& sink) = 0;
    // Cancels a request whose client has disconnected or has asked to cancel it; its sink is not called
    // again. Does nothing if the response is complete.
    virtual void cancel_request(RequestId request) = 0;
    virtual bool has_ready_endpoints() const = 0;
    // Returns whether discovery has ever listed an endpoint of this replica group.
    virtual bool knows_replica_group(int replica_group) const = 0;

protected:
    ~RequestDispatcher() = default;
};

}  // namespace sloestack::traffic
