// Phases of a router's start, which determine whether a listed primary is trusted. Reads no clock.
//
//   cold      only an endpoint list stored before the start is known, and may be old
//   learning  discovery has sent a list since the start; roles are known only from lists
//   serving   in 90% of the replica groups that clients have requested, an endpoint has reported its role
//
// A phase is entered on evidence alone, never after a time, and is never left backwards.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "sloestack/router.h"

namespace sloestack::decision {

class StartupPhase {
public:
    enum class State { cold, learning, serving };

    // Uses `position_check`, `health_checks_allowed` and `health_checks_report_status`.
    explicit StartupPhase(const Settings& settings);

    void on_list_received();             // a list from discovery, not the cached one
    void on_request(int replica_group);  // a client's request for the group has arrived
    // An endpoint of the group has reported whether it is the primary or a replica.
    void on_role_reported(int replica_group);
    State state() const { return state_; }
    // Returns a log line if a phase was entered since the last call, otherwise std::nullopt. `since_start_us`
    // is the time since the start, at least 0.
    std::optional<std::string> take_transition_message(Micros since_start_us);

    // Whether reads may rely on a primary that is only listed and has not reported its role itself. The list
    // may have been stored before the start, so this holds only if endpoints check positions themselves, or
    // if health checks cannot report their roles.
    bool trusts_listed_primary() const { return trusts_listed_primary_; }

    // Share of the replica groups with client requests in which an endpoint must have reported its role; the
    // other groups may be unreachable.
    static constexpr double kConfirmedGroupRatio = 0.9;

private:
    void enter(State state);
    void enter_serving_if_confirmed();

    bool trusts_listed_primary_;
    State state_ = State::cold;
    bool is_transition_reported_ = true;
    std::set<int> requested_groups_;  // both are cleared on entering `serving`
    std::set<int> confirmed_groups_;
};

}  // namespace sloestack::decision
