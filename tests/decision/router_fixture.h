// What the tests of the whole router share: settings, and a driver that feeds one router events by hand.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::decision::test {

/// Indices of the request classes in `default_settings`.
constexpr int kBoundedRead = 0;
constexpr int kSessionRead = 1;
constexpr int kLinearizableRead = 2;
constexpr int kAnyRead = 3;
constexpr int kWrite = 4;

/// The classes above, a latency objective of 200 ms, a deadline of 1 s, six attempts, slow start over 10 s.
Settings default_settings(Idempotency write_idempotency = Idempotency::none);

/// Default settings for one of `router_count` routers, with health checks.
Settings fleet_settings(int router_count);

/// An entry of an endpoint list; the endpoint is of replica group 0 and zone 0.
EndpointEntry make_entry(EndpointId endpoint, EndpointState state = EndpointState::ready);

double to_double(Micros duration);

/// Drives one router by hand. Events are queued until the next `step`; `actions` holds what that step
/// returned.
class RouterFixture {
public:
    /// Starts with a cached list of endpoints 1 to `endpoint_count` of replica group 0.
    explicit RouterFixture(const Settings& settings, int endpoint_count = 3, std::uint64_t seed = 1);

    // ---- events ----
    void endpoint_list(EndpointListKind kind, std::vector<EndpointEntry> entries);
    /// A request whose deadline is 1 s from now.
    void arrive(RequestId request, int request_class, SessionId session = 0);
    /// The end of the request's latest attempt, 20 ms after its start. A position of 0 means none was
    /// reported.
    void attempt_ended(RequestId request, EndpointId endpoint, Outcome outcome, Role role, Time position,
                       bool request_ended = false, bool on_reused_connection = false);
    /// A successful end of the latest attempt, which answers the request.
    void answered(RequestId request, EndpointId endpoint, Role role, Time position);
    void health_check_ended(EndpointId endpoint, Role role, Time position);

    // ---- steps ----
    /// Moves the clock and hands the queued events to the router.
    void step(Micros later = 0);
    /// A step with an expired timer.
    void fire_timer(Micros later = 5'000);
    /// Makes `primary` the known primary and reports a position of each of endpoints 1 to `endpoint_count`;
    /// the replicas lag by 10 ms.
    void establish_primary(EndpointId primary, int endpoint_count = 3);

    // ---- actions of the last step ----
    /// Where the request was forwarded to.
    std::optional<EndpointId> forwarded_to(RequestId request) const;
    bool logged(const std::string& prefix) const;
    /// The action of this type on the request; null if there is none.
    template <class ActionType>
    const ActionType* find(RequestId request) const {
        for (const auto& action : actions) {
            const auto* found = std::get_if<ActionType>(&action);
            if (found && found->request == request) return found;
        }
        return nullptr;
    }
    template <class ActionType>
    int count() const {
        int matching = 0;
        for (const auto& action : actions) matching += std::holds_alternative<ActionType>(action);
        return matching;
    }

    Router router;
    Time now = 10'000'000;
    std::vector<Event> events;  // queued for the next step
    std::vector<Action> actions;

private:
    std::map<RequestId, int> attempts_;
};

}  // namespace sloestack::decision::test
