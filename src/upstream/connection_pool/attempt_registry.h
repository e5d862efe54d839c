// The attempts and health checks that are under way, from when the dispatch loop hands them in until their
// result is reported to it, exactly once each.
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

// An attempt or a health check: it waits for a connection or for its response.
struct PendingAttempt {
    traffic::Attempt attempt;
    bool is_health_check = false;
    EndpointConnections* endpoint = nullptr;
    UpstreamConnection* connection = nullptr;  // while its query is out
    Time started_at = 0;
    bool on_reused_connection = false;
    Deadline connect_timeout;
    Deadline attempt_timeout;
};

class AttemptRegistry {
public:
    // Both outlive the registry.
    AttemptRegistry(Deadlines& deadlines, traffic::AttemptListener& listener)
        : deadlines_(deadlines), listener_(listener) {}

    // The references stay valid until the attempt is finished.
    PendingAttempt& add(const traffic::Attempt& attempt);
    PendingAttempt& add_health_check(traffic::EndpointId endpoint);
    // Null where there is no such attempt, or no more.
    PendingAttempt* find(traffic::RequestId request, int number) const;
    // Reports the result and destroys `pending`. `response` may be null; its value is moved out.
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
