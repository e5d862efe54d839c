// Which position an endpoint must have applied to serve a read: determined by the consistency of the request
// class and, for session reads, by the session token, the position of the session's last write.
#pragma once

#include <cstddef>
#include <map>
#include <utility>

#include "router_state.h"

namespace sloestack::decision {

class ReadConsistency {
public:
    // Beyond this number, the tokens with the oldest positions are erased as if they had been passed.
    static constexpr std::size_t kMaxSessionTokens = 20'000;

    explicit ReadConsistency(RouterState& state) : state_(state) {}

    // Returns the position that a request arriving now requires; 0 if any position is sufficient.
    Time required_position(const Request& request);
    // Records that a write of the request's session has committed at the position.
    void record_write(const Request& request, Time position);
    // The same for a write that another process has acknowledged.
    void record_write(const SessionWrite& write);
    // While reports are incomplete, any session may have written at another process until now: reads of
    // sessions then require the newest data.
    void set_reports_complete(bool are_complete);
    // Whether the endpoint meets the consistency of the read at `now`, by its estimated position.
    bool is_satisfied_by(const Endpoint& endpoint, const Request& request, Time now) const;
    // Whether the primary may serve reads that require the newest data: it has reported its role itself, or
    // listed primaries are trusted (StartupPhase::trusts_listed_primary).
    bool trusts_primary(const Endpoint& primary) const;
    // Erases the session tokens that all endpoints of their replica group have passed. `oldest_positions` is
    // by replica group. The newest erased token becomes the minimum position of sessions without a token,
    // because an endpoint that joins later may start from an older copy.
    void erase_passed_tokens(std::map<int, Time>& oldest_positions);
    std::size_t session_token_count() const { return session_tokens_.size(); }

private:
    using SessionTokens = std::map<std::pair<int, SessionId>, Time>;  // by replica group and session

    SessionTokens::iterator erase_token(SessionTokens::iterator token);
    void erase_oldest_tokens();

    RouterState& state_;
    SessionTokens session_tokens_;
    bool reports_are_complete_ = true;
    Time reports_complete_since_ = 0;  // earlier writes may be unknown
};

}  // namespace sloestack::decision
