// What a router that has just started may believe. Time is not looked at.
//
//   cold      serves by the list from before its start, as old as that may be
//   learning  discovery has sent a list since; endpoints are known by what the list says of them
//   serving   in nine of ten replica groups that clients ask for, an endpoint has reported its own role
//
// It moves on by evidence alone, never by time, and never back.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "sloestack/router.h"

namespace sloestack::decision {

class StartupPhase {
public:
    enum class State { cold, learning, serving };

    // Of the settings: whether endpoints check reads, and whether health checks report their status.
    explicit StartupPhase(const Settings& settings);

    void on_list_received();             // a list, whole or changes, that discovery has sent since the start
    void on_request(int replica_group);  // a client has asked for the group
    void on_role_reported(
        int replica_group);  // an endpoint of it has reported whether it is primary or replica
    State state() const { return state_; }
    // A log line for each state that is reached, once. `since_start_us` is at least 0.
    std::optional<std::string> take_transition(Micros since_start_us);

    // Whether reads take an endpoint for their group's primary because a list says so, before it has said so
    // itself. The list may be that of before the start: only where endpoints reject reads that they lag for,
    // or where none can be asked.
    bool trusts_listed_primary() const { return trusts_listed_primary_; }

    static constexpr double kConfirmedGroupRatio = 0.9;  // of the groups asked for: one may be out of reach

private:
    void enter(State state);
    void serve_once_confirmed();

    bool trusts_listed_primary_;
    State state_ = State::cold;
    bool is_transition_logged_ = true;
    std::set<int> requested_groups_;  // both emptied once serving
    std::set<int> confirmed_groups_;
};

}  // namespace sloestack::decision
