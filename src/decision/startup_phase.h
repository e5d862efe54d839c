// What a router that has just started may believe: one state machine a process. Pure: time is not looked at.
// When it calls discovery, while hundreds of others start beside it, is the schedule's
// (decision/discovery_poll_schedule).
//
//   cold      serves by the list from before its start, as old as that may be
//   learning  discovery has told it a list since; members are known by what the list says of them
//   serving   of nine in ten groups that clients have asked for, a member has said itself what it is
//
// It moves on by evidence alone, never by time, and never back. What each state allows is at the functions.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "sloestack/router.h"

namespace sloestack::decision {

class StartupPhase {
public:
    enum class State { cold, learning, serving };

    // Of the settings: whether members check reads, and whether they can be asked.
    explicit StartupPhase(const Settings& settings);

    // ---- evidence ----
    void on_list_received();           // a list, whole or changes, that discovery has told since the start
    void on_request(int group);        // a client's request has come for it
    void on_role_reported(int group);  // a member of it has said itself whether it is a primary or a replica
    State state() const { return state_; }
    // Told once for each state that is reached: a line for the log; `since_start` in us, at least 0.
    std::optional<std::string> take_transition(Micros since_start);

    // ---- what is believed ----
    // Whether a member counts as its group's primary for reads because a list says so, before it has said so
    // itself. The list may be that of before the start, as old as can be: only where members turn away what
    // they are too far behind for, or where nobody can be asked.
    bool trusts_listed_primary() const { return trusts_listed_primary_; }

    static constexpr double kConfirmedGroupRatio = 0.9;  // of the groups asked for: one may be out of reach

private:
    void judge();

    bool trusts_listed_primary_, told_of_ = true;
    State state_ = State::cold;
    std::set<int> asked_, heard_;  // emptied once serving
};

}  // namespace sloestack::decision
