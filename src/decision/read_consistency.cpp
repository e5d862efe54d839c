#include "read_consistency.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include "replication_lag.h"

namespace sloestack::decision {
namespace {

// Added to the position of a session's last write, because its age is rounded to whole milliseconds.
constexpr Micros kWriteAgeRoundingUs = 1'000;

}  // namespace

Time ReadConsistency::required_position(const Request& request) {
    const auto& settings = state_.class_of(request);
    if (settings.consistency == Consistency::linearizable) return request.arrived_at;
    if (settings.consistency != Consistency::session) return 0;
    const auto& arrival = request.arrival;
    if (state_.settings.last_write_age_reported)
        return arrival.last_write_age_us
                   ? request.arrived_at - *arrival.last_write_age_us + kWriteAgeRoundingUs
                   : 0;
    if (!reports_are_complete_) return request.arrived_at;
    const auto token = session_tokens_.find({arrival.replica_group, arrival.session});
    const Time known_position = token != session_tokens_.end()
                                    ? token->second
                                    : state_.group(arrival.replica_group).default_session_position;
    return std::max(known_position, reports_complete_since_);
}

void ReadConsistency::record_write(const Request& request, Time position) {
    record_write(SessionWrite{request.arrival.replica_group, request.arrival.session, position});
}

void ReadConsistency::record_write(const SessionWrite& write) {
    if (!write.session) return;
    auto& token = session_tokens_[{write.replica_group, write.session}];
    token = std::max(token, write.position);
    if (session_tokens_.size() > kMaxSessionTokens) erase_oldest_tokens();
}

void ReadConsistency::set_reports_complete(bool are_complete) {
    if (are_complete && !reports_are_complete_) reports_complete_since_ = state_.now;
    reports_are_complete_ = are_complete;
}

bool ReadConsistency::is_satisfied_by(const Endpoint& endpoint, const Request& request, Time now) const {
    const auto& settings = state_.class_of(request);
    if (settings.consistency == Consistency::any) return true;
    const auto& group = state_.existing_group(endpoint.replica_group);
    if (group.primary == endpoint.id && trusts_primary(endpoint)) return true;
    const bool is_bounded = settings.consistency == Consistency::bounded_staleness;
    const Time required = is_bounded ? now - settings.staleness_bound_us : request.required_position;
    if (required <= 0) return true;
    const auto check = state_.settings.position_check;
    const Time position = estimated_position(endpoint, group, check, now);
    // An endpoint that checks positions itself may be used although its position is unknown.
    if (position < 0) return check != PositionCheck::none;
    // Counts on half the time that the endpoint waits for the position.
    const bool waits = check == PositionCheck::wait && !is_bounded;
    const Micros wait_us = waits ? state_.settings.position_wait_us / 2 : 0;
    return position + wait_us >= required;
}

bool ReadConsistency::trusts_primary(const Endpoint& primary) const {
    return primary.role == Role::primary || state_.startup.trusts_listed_primary();
}

void ReadConsistency::erase_passed_tokens(std::map<int, Time>& oldest_positions) {
    for (auto token = session_tokens_.begin(); token != session_tokens_.end();) {
        const bool is_passed = token->second < oldest_positions[token->first.first];
        token = is_passed ? erase_token(token) : std::next(token);
    }
}

ReadConsistency::SessionTokens::iterator ReadConsistency::erase_token(SessionTokens::iterator token) {
    auto& group = state_.group(token->first.first);
    group.default_session_position = std::max(group.default_session_position, token->second);
    return session_tokens_.erase(token);
}

// Tokens accumulate while an endpoint of their group does not advance. Erases the older half of them:
// sessions without a token then require the newest position erased.
void ReadConsistency::erase_oldest_tokens() {
    std::vector<Time> positions;
    positions.reserve(session_tokens_.size());
    for (const auto& [session, position] : session_tokens_) positions.push_back(position);
    const auto median = positions.begin() + static_cast<std::ptrdiff_t>(positions.size() / 2);
    std::nth_element(positions.begin(), median, positions.end());
    for (auto token = session_tokens_.begin(); token != session_tokens_.end();)
        token = token->second <= *median ? erase_token(token) : std::next(token);
}

}  // namespace sloestack::decision
