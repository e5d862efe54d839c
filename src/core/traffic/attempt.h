// Interfaces between the dispatch loop and the endpoint side: the dispatch loop sends attempts and health
// checks, the endpoint side reports their results.
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
    int number = 0;  // index among the request's attempts, from 0
    int request_class = 0;
    EndpointId endpoint = 0;
    std::shared_ptr<const Statement> statement;
    Time timeout_at = 0;
    // The endpoint must not read the statement's last byte later. An attempt that cannot arrive by then ends
    // before the statement is complete.
    std::optional<Time> deliver_by = {};
};

// Whether an attempt of a request may begin.
enum class RequestState {
    active,
    ended,       // it has its response, its deadline has passed or its client has disconnected
    unverified,  // its client may have disconnected; the caller asks again after a short delay
};

// Carries out attempts and health checks. Implemented by the endpoint side.
class AttemptSender {
public:
    virtual ~AttemptSender() = default;
    virtual void send(const Attempt& attempt) = 0;
    // Does nothing if the attempt has ended. The end of a cancelled attempt is still reported.
    virtual void cancel_attempt(RequestId request, int number) = 0;
    virtual void start_health_check(EndpointId endpoint) = 0;
};

// Receives the result of each attempt and health check exactly once. Implemented by the dispatch loop.
class AttemptListener {
public:
    // Called for a value that is too large to be buffered. Its chunks follow, then on_attempt_ended with a
    // value that holds only the command tag; `source` is valid until then. Returns false if the request no
    // longer waits for a response, or another attempt already streams it; the sender then ends the attempt.
    virtual bool on_response_started(const decision::ResponseStarted& start, const ResultValue& head,
                                     std::size_t size, ResponseSource& source) = 0;
    virtual void on_value_chunk(RequestId request, std::string_view bytes) = 0;
    // `value` is present if and only if the outcome is ok.
    virtual void on_attempt_ended(const decision::AttemptEnded& end, std::optional<ResultValue> value) = 0;
    virtual void on_health_check_ended(const decision::HealthCheckEnded& end) = 0;
    // Called before an attempt's first byte is written, and before the end of a long statement. Cancels the
    // request if its client has disconnected.
    virtual RequestState request_state(RequestId request) = 0;
    // Called before an attempt's first byte is written: whether the endpoint still meets the consistency that
    // the request requires. The attempt may have waited for its connection since it was forwarded.
    virtual bool meets_consistency(RequestId request, EndpointId endpoint) const = 0;

protected:
    ~AttemptListener() = default;
};

}  // namespace sloestack::traffic
