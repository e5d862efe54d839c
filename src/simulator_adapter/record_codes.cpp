#include "record_codes.h"

namespace sloestack::simulator {
namespace {

using decision::EndpointListKind;
using decision::EndpointState;
using decision::Outcome;
using decision::Role;

template <class Meaning>
struct CodeMapping {
    std::uint32_t code;
    Meaning meaning;
};

constexpr CodeMapping<Outcome> kOutcomes[] = {
    {0, Outcome::ok},
    {2, Outcome::not_eligible},
    {5, Outcome::error},
    {11, Outcome::overloaded},
    {104, Outcome::reset},
    {110, Outcome::timeout},
    {111, Outcome::connect_failed},
    {114, Outcome::expired},
    {125, Outcome::cancelled},
};
constexpr CodeMapping<EndpointListKind> kEndpointListKinds[] = {
    {0, EndpointListKind::cached},
    {1, EndpointListKind::changes},
    {2, EndpointListKind::failed},
    {3, EndpointListKind::complete},
};
constexpr CodeMapping<EndpointState> kEndpointStates[] = {
    {1, EndpointState::draining},
    {2, EndpointState::ready},
};
constexpr CodeMapping<Role> kRoles[] = {
    {1, Role::primary},
    {2, Role::replica},
};

template <class Meaning, std::size_t kCount>
std::optional<Meaning> find(const CodeMapping<Meaning> (&table)[kCount], std::uint32_t code) {
    for (const auto& row : table)
        if (row.code == code) return row.meaning;
    return std::nullopt;
}

}  // namespace

std::optional<Outcome> outcome_of(std::uint16_t status) { return find(kOutcomes, status); }

std::optional<EndpointListKind> endpoint_list_kind_of(std::uint8_t kind) {
    return find(kEndpointListKinds, kind);
}

EndpointState endpoint_state_of(std::uint8_t state) {
    return find(kEndpointStates, state).value_or(EndpointState::removed);
}

Role role_of(std::uint32_t role) { return find(kRoles, role).value_or(Role::unknown); }

}  // namespace sloestack::simulator
