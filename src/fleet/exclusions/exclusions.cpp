#include "exclusions/exclusions.h"

#include <algorithm>
#include <utility>

namespace sloestack::exclusions {

using decision::EndpointListKind;
using decision::EndpointState;

void Bans::on_endpoint_list(EndpointListKind kind, std::vector<traffic::ListedEndpoint> entries) {
    if (kind == EndpointListKind::complete || kind == EndpointListKind::cached) present_.clear();
    for (auto& e : entries) {
        if (e.endpoint.state == EndpointState::removed)
            present_.erase(e.name);
        else
            present_[e.name] = e;
        e = laid_over(std::move(e));
    }
    next_.on_endpoint_list(kind, std::move(entries));
}

traffic::ListedEndpoint Bans::laid_over(traffic::ListedEndpoint entry) const {
    if (entry.endpoint.state == EndpointState::ready && is_banned(entry.name))
        entry.endpoint.state = EndpointState::draining;
    return entry;
}

void Bans::pass_on(const std::string& name) {
    const auto present = present_.find(name);
    if (present != present_.end())
        next_.on_endpoint_list(EndpointListKind::changes, {laid_over(present->second)});
}

void Bans::ban(const std::string& name) {
    if (banned_.insert(name).second) pass_on(name);
}

void Bans::lift(const std::string& name) {
    if (banned_.erase(name) > 0) pass_on(name);
}

std::size_t Bans::listed_and_banned() const {
    return static_cast<std::size_t>(
        std::count_if(banned_.begin(), banned_.end(), [this](const auto& n) { return present_.count(n); }));
}

}  // namespace sloestack::exclusions
