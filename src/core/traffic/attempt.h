// How the dispatch loop has attempts and health checks carried out, and how their results come back.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

#include "traffic/response.h"
#include "traffic/statement.h"
#include "traffic/types.h"

namespace sloestack::traffic {

// One forwarding of a request to one endpoint.
struct Attempt {
    RequestId request = 0;
    int number = 0;  // counts a request's attempts from 0
    int request_class = 0;
    EndpointId endpoint = 0;
    std::shared_ptr<const Statement> statement;
    Time timeout_at = 0;
    std::optional<Time> start_by = {};  // its first byte is written before then or never
};

// Carries attempts and health checks out; implemented by the endpoint side.
class AttemptSender {
public:
    virtual ~AttemptSender() = default;
    virtual void send(const Attempt& attempt) = 0;
    // Does nothing for an attempt that has ended. Its end is still reported.
    virtual void cancel_attempt(RequestId request, int number) = 0;
    virtual void start_health_check(EndpointId endpoint) = 0;
};

// Gets the result of each attempt and health check exactly once; implemented by the dispatch loop.
class AttemptListener {
public:
    // A value too large to be buffered: its chunks follow, then on_attempt_ended with a value that holds the
    // command tag. `source` lives until then. Returns false if nobody waits for it: the sender ends the
    // attempt.
    virtual bool on_answer_started(const decision::ResponseStarted& start, const ResultValue& head,
                                   std::size_t size, ResponseSource& source) = 0;
    virtual void on_value_chunk(RequestId request, std::string_view bytes) = 0;
    // `value` is present if and only if the outcome is ok.
    virtual void on_attempt_ended(const decision::AttemptEnded& end, std::optional<ResultValue> value) = 0;
    virtual void on_health_check_ended(const decision::HealthCheckEnded& end) = 0;
    // Whether the request still waits for its response, asked before an attempt's first byte is written.
    // Cancels the request if its client has disconnected.
    virtual bool is_request_active(RequestId request) = 0;

protected:
    ~AttemptListener() = default;
};

}  // namespace sloestack::traffic
