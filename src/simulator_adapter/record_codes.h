// The record codes and field values of the simulator's protocol, and what they mean to the decision module.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "sloestack/router.h"

namespace sloestack::simulator {

// Records of a batch, from the simulator.
enum class EventCode : std::uint16_t {
    endpoint_list_contents = 1000,  // a numbered list, to which endpoint_list records refer
    timer_fired = 1010,
    client_disconnected = 1020,
    instance_stopped = 1040,
    health_check_ended = 1050,
    instance_started = 1060,
    arrival = 1070,
    endpoint_list = 1080,
    attempt_ended = 1090,
    response_started = 1100,
    instance_selected = 1110,  // assigns the records that follow to an instance
};

// Records of a reply, to the simulator.
enum class ActionCode : std::uint16_t {
    forward = 1000,
    reject = 1010,
    fail = 1020,
    cancel = 1030,
    set_timer = 1040,
    start_health_check = 1050,
    log = 1080,
    instance_fault = 1090,  // why an instance cannot run with its settings
    poll_discovery = 1100,
    instance_selected = 1120,
};

// Flags of an arrival.
constexpr std::uint16_t kArrivalHasWorkHint = 1;
constexpr std::uint16_t kArrivalIsRetry = 2;

// The replication status in an attempt's end: two bits for the role, above them the position in milliseconds
// after the position base, or 0 for no position.
constexpr std::uint32_t kStatusRoleMask = 3;
constexpr int kStatusPositionShift = 2;

// Returns the outcome of an attempt or a health check, or
// std::nullopt for a status that this build does not know.
std::optional<decision::Outcome> outcome_of(std::uint16_t status);
// Returns std::nullopt for a kind that this build does not know.
std::optional<decision::EndpointListKind> endpoint_list_kind_of(std::uint8_t kind);
// Returns EndpointState::removed for an unknown state.
decision::EndpointState endpoint_state_of(std::uint8_t state);
// Returns Role::unknown for an unknown role.
decision::Role role_of(std::uint32_t role);

}  // namespace sloestack::simulator
