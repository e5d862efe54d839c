// The end of an attempt's query: an endpoint may have its last byte only while the request may be executed.
// The last bytes of a long query are therefore held back until those before them have been taken.
#include <algorithm>

#include "connection_pool/connection_pool.h"

namespace sloestack::upstream {
namespace {

using decision::Outcome;
using traffic::RequestState;

constexpr Micros kCompletionCheckIntervalUs = 2'000;
// The kernel of an endpoint may delay an acknowledgement by 40 ms.
constexpr Micros kAcknowledgementDelayUs = 45'000;

}  // namespace

bool ConnectionPool::is_within_window(const PendingAttempt& attempt) const {
    const auto& deliver_by = attempt.attempt.deliver_by;
    return !deliver_by || deadlines_.now() < *deliver_by;
}

void ConnectionPool::try_to_complete(PendingAttempt& attempt) {
    if (!attempt.connection->is_query_incomplete()) return;
    if (!is_within_window(attempt)) return abort_attempt(attempt, Outcome::expired);
    if (!would_arrive_in_time(attempt)) return schedule_completion(attempt);
    const auto state = listener_.request_state(attempt.attempt.request);
    if (state == RequestState::ended) return abort_attempt(attempt, Outcome::expired);
    if (state == RequestState::unverified) return schedule_completion(attempt);
    attempt.completion_check.clear();
    attempt.connection->complete_query(time_left(attempt));
}

bool ConnectionPool::would_arrive_in_time(const PendingAttempt& attempt) const {
    if (!attempt.attempt.deliver_by) return attempt.connection->is_query_transmitted();
    const auto read_by = attempt.connection->estimate_read_by(deadlines_.now());
    return read_by && *read_by < *attempt.attempt.deliver_by;
}

void ConnectionPool::schedule_completion(PendingAttempt& attempt) {
    attempt.completion_check.set(deadlines_, deadlines_.now() + kCompletionCheckIntervalUs,
                                 [this, &attempt] { try_to_complete(attempt); });
}

// Ends the attempt if the endpoint cannot execute it any more. If it is not known whether the endpoint has
// the query, the attempt ends after the longest delay of an acknowledgement.
void ConnectionPool::on_delivery_timeout(PendingAttempt& attempt) {
    if (!attempt.connection || !attempt.connection->may_have_executed())
        return abort_attempt(attempt, Outcome::expired);
    if (attempt.connection->is_query_delivered()) return;
    attempt.delivery_timeout.set(deadlines_, *attempt.attempt.deliver_by + kAcknowledgementDelayUs,
                                 [this, &attempt] {
                                     if (!attempt.connection->is_query_delivered())
                                         abort_attempt(attempt, Outcome::cancelled);
                                 });
}

// A long query that has to arrive in time takes a connection on which the endpoint's receive buffer has not
// grown: the more it holds, the less is known of what the endpoint has read.
UpstreamConnection* ConnectionPool::find_idle_connection(const EndpointConnections& endpoint,
                                                         const PendingAttempt& attempt) const {
    const auto& idle = endpoint.idle_connections;
    const bool needs_small_buffer = attempt.attempt.deliver_by && attempt.attempt.statement->is_long();
    const auto found = std::find_if(idle.rbegin(), idle.rend(), [&](const UpstreamConnection* connection) {
        return !needs_small_buffer || !connection->has_sent_long_query();
    });
    return found == idle.rend() ? nullptr : *found;
}

}  // namespace sloestack::upstream
