// Retry policy: whether a further attempt of a request is allowed, at which endpoint and until when, and
// whether the request may still be rejected, which promises that it is safe to send again.
//
// An attempt may have run unless its outcome proves the contrary. After such an attempt, a request that is
// not idempotent is never forwarded again; a keyed one is, within the idempotency window and scope of its
// class.
#pragma once

#include <optional>

#include "endpoint.h"
#include "request.h"
#include "sloestack/router.h"

namespace sloestack::decision {

class RetryPolicy {
public:
    explicit RetryPolicy(const Settings& settings) : settings_(settings) {}

    // Whether the outcome proves that the attempt did not execute the request.
    static bool proves_not_run(Outcome outcome);
    // Whether the request may be rejected: it was not executed, or its class allows any repetition.
    bool may_reject(const Request& request) const;
    // Whether a further attempt is allowed now, regardless of the endpoint.
    bool may_forward(const Request& request, Time now) const;
    // Whether the endpoint may get the request: it belongs to the replica group, is not leaving and is within
    // the idempotency scope.
    bool may_forward_to(const Request& request, const Endpoint& endpoint, Time now) const;
    // Returns how long a keyed request that may have run may still be repeated, which may be negative;
    // std::nullopt for any other request.
    std::optional<Micros> idempotency_window_left_us(const Request& request, Time now) const;
    // Returns the base of the Retry-After: a client that retries after it can still get its response within
    // the latency objective.
    Micros retry_after_us(const Request& request) const;

private:
    const RequestClassSettings& class_of(const Request& request) const {
        return settings_.classes[request.class_index()];
    }

    const Settings& settings_;
};

// Limits retries and hedged requests to 0.2 per arriving request, with at most 80 saved up, so that they
// cannot amplify an overload.
class RetryBudget {
public:
    void on_arrival();
    bool is_spent() const { return credit_ < 1; }
    void spend() { credit_ -= 1; }

private:
    static constexpr double kMaxCredit = 80;  // attempts: about those lost at one hanging endpoint
    double credit_ = kMaxCredit / 4;
};

}  // namespace sloestack::decision
