// What an endpoint must have applied to answer a read: by the consistency that its class asks for and, for
// session reads, by the session's token, the position of its last write.
#pragma once

#include <map>
#include <utility>

#include "router_state.h"

namespace sloestack::decision {

class ReadConsistency {
public:
    explicit ReadConsistency(RouterState& state) : state_(state) {}

    // The position that a request which has just arrived asks for; 0 where any will do.
    Time required_position(const Request& request);
    // A write of the request's session is known to have committed at that position.
    void record_write(const Request& request, Time position);
    // Whether the endpoint can answer the read, as far as is known.
    bool is_met_by(const Endpoint& endpoint, const Request& request) const;
    // Whether this primary may answer reads that need the newest data: it has reported its own role, or the
    // settings allow a listed primary to be believed.
    bool trusts_primary(const Endpoint& primary) const;
    // Forgets the tokens that all members of their group have passed; `oldest_positions` by group. The newest
    // token that is forgotten still binds sessions without one: an endpoint that joins later may start from
    // an older copy.
    void forget_passed_tokens(std::map<int, Time>& oldest_positions);

private:
    RouterState& state_;
    std::map<std::pair<int, SessionId>, Time> session_tokens_;  // by replica group and session
};

}  // namespace sloestack::decision
