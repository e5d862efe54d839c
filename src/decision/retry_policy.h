// What may be done with a request again: whether a further attempt is allowed, where, until when, and whether
// the request may still be rejected with the promise that nothing has run.
//
// An attempt may have run unless its outcome proves the contrary. A request that is not idempotent is then
// never forwarded again; a keyed one is, within the idempotency window and scope of its class.
#pragma once

#include <optional>

#include "endpoint.h"
#include "request.h"
#include "sloestack/router.h"

namespace sloestack::decision {

class RetryPolicy {
public:
    explicit RetryPolicy(const Settings& settings) : settings_(settings) {}

    // Whether the outcome proves that the attempt executed nothing.
    static bool proves_not_run(Outcome outcome);
    // Whether to reject the request promises the truth: no effect, or one that its class may repeat.
    bool may_reject(const Request& request) const;
    // Whether one more attempt is allowed now, at whatever endpoint.
    bool may_forward(const Request& request, Time now) const;
    // Whether this endpoint may get it: it is not leaving, and within the idempotency scope.
    bool may_use(const Request& request, const Endpoint& endpoint, Time now) const;
    // For a keyed request that may have run: how long it may still be repeated; nothing for any other.
    std::optional<Micros> idempotency_window_left_us(const Request& request, Time now) const;
    // Base of the Retry-After: a client that comes back after it can still meet the latency objective.
    Micros retry_after_us(const Request& request) const;

private:
    const RequestClassSettings& class_of(const Request& request) const {
        return settings_.classes[request.class_index()];
    }

    const Settings& settings_;
};

// Allows 0.2 further attempts for each arriving request and at most 80 saved up, so that retries cannot
// multiply an overload.
class RetryBudget {
public:
    void on_arrival();
    bool is_spent() const { return credit_ < 1; }
    void spend() { credit_ -= 1; }

private:
    static constexpr double kMaxCredit = 80;  // further attempts: the load of one endpoint that hangs
    double credit_ = kMaxCredit / 4;
};

}  // namespace sloestack::decision
