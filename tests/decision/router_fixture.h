// Test fixture for tests of the whole router: settings, and a driver that feeds events to one router.
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

// Indices of the request classes in `default_settings`.
constexpr int kBoundedRead = 0;
constexpr int kSessionRead = 1;
constexpr int kLinearizableRead = 2;
constexpr int kAnyRead = 3;
constexpr int kWrite = 4;

// Returns settings with the classes above, a latency objective of 200 ms, a deadline of 1 s, six attempts and
// a slow start of 10 s.
Settings default_settings(Idempotency write_idempotency = Idempotency::none);

// Returns default settings for one of `router_count` routers, with health checks and PositionCheck::wait.
Settings fleet_settings(int router_count);

// Returns an entry of an endpoint list, in replica group 0 and zone 0.
EndpointEntry make_entry(EndpointId endpoint, EndpointState state = EndpointState::ready);

double to_double(Micros duration);

// Drives one router. Events are queued until the next step; `actions` holds the actions of the last step.
class RouterFixture {
public:
    // Starts with a cached list of endpoints 1 to `endpoint_count` in replica group 0.
    explicit RouterFixture(const Settings& settings, int endpoint_count = 3, std::uint64_t seed = 1);

    // ---- events ----
    void endpoint_list(EndpointListKind kind, std::vector<EndpointEntry> entries);
    // Queues a request with a deadline 1 s from now.
    void arrive(RequestId request, int request_class, SessionId session = 0);
    // Queues the end of the request's latest attempt, with a latency of 20 ms. Position 0: none is reported.
    void attempt_ended(RequestId request, EndpointId endpoint, Outcome outcome, Role role, Time position,
                       bool request_ended = false, bool on_reused_connection = false);
    // Queues a successful end of the latest attempt, whose response ends the request.
    void attempt_succeeded(RequestId request, EndpointId endpoint, Role role, Time position);
    void health_check_ended(EndpointId endpoint, Role role, Time position);

    // ---- steps ----
    // Advances the clock and passes the queued events to the router.
    void step(Micros elapsed = 0);
    // Performs a step with the router's periodic timer.
    void fire_timer(Micros elapsed = 5'000);
    // Reports roles and positions of endpoints 1 to `endpoint_count` by health checks: `primary` is the
    // primary, and the replicas lag by 10 ms.
    void establish_primary(EndpointId primary, int endpoint_count = 3);

    // ---- actions of the last step ----
    // Returns the endpoint to which the request was forwarded; std::nullopt if it was not.
    std::optional<EndpointId> forwarded_to(RequestId request) const;
    bool logged(const std::string& prefix) const;
    // Returns the action of this type for the request; nullptr if there is none.
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
    std::map<RequestId, int> attempts_;  // number of attempts by request
};

}  // namespace sloestack::decision::test
