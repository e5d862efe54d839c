// The pending attempts and health checks: from when the dispatch loop starts them until their result has been
// reported to it, which happens exactly once for each.
#pragma once

#include <map>
#include <memory>
#include <utility>

#include "connection_pool/upstream_response.h"
#include "deadlines/deadlines.h"
#include "traffic/attempt.h"

namespace sloestack::upstream {

class UpstreamConnection;
struct EndpointConnections;

// An attempt or a health check that waits for a connection or for its response.
struct PendingAttempt {
    traffic::Attempt attempt;
    bool is_health_check = false;
    EndpointConnections* endpoint = nullptr;
    UpstreamConnection* connection = nullptr;  // set while it waits for its response
    Time started_at = 0;
    bool on_reused_connection = false;
    Deadline connect_timeout;
    Deadline attempt_timeout;
    Deadline client_check;      // set while it is not known whether the client is still connected
    Deadline completion_check;  // set while its query is incomplete
    Deadline delivery_timeout;  // set until Attempt::deliver_by
};

class AttemptRegistry {
public:
    // `deadlines` and `listener` outlive the registry.
    AttemptRegistry(Deadlines& deadlines, traffic::AttemptListener& listener)
        : deadlines_(deadlines), listener_(listener) {}

    // The returned references are valid until the attempt or health check is finished.
    PendingAttempt& add(const traffic::Attempt& attempt);
    PendingAttempt& add_health_check(traffic::EndpointId endpoint);
    // Returns null if there is no such attempt or it has been finished.
    PendingAttempt* find(traffic::RequestId request, int number) const;
    // Reports the result to the listener and destroys `pending`. `response` may be null; its value is moved
    // out.
    void finish(PendingAttempt& pending, decision::Outcome outcome, UpstreamResponse* response = nullptr);

private:
    using Key = std::pair<traffic::RequestId, int>;

    PendingAttempt& insert(std::unique_ptr<PendingAttempt> pending);
    void report_attempt(const PendingAttempt& pending, decision::Outcome outcome, UpstreamResponse* response);
    void report_health_check(const PendingAttempt& pending, decision::Outcome outcome,
                             const UpstreamResponse* response);

    Deadlines& deadlines_;
    traffic::AttemptListener& listener_;
    std::map<Key, std::unique_ptr<PendingAttempt>> pending_;
    int health_check_count_ = 0;
};

}  // namespace sloestack::upstream
