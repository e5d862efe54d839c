#include "exclusions/exclusions.h"

#include <algorithm>
#include <utility>

namespace sloestack::exclusions {

using decision::EndpointListKind;
using decision::EndpointState;
using traffic::ListedEndpoint;

void Exclusions::on_endpoint_list(EndpointListKind kind, std::vector<ListedEndpoint> endpoints) {
    if (kind == EndpointListKind::complete || kind == EndpointListKind::cached) listed_.clear();
    for (auto& endpoint : endpoints) {
        if (endpoint.endpoint.state == EndpointState::removed)
            listed_.erase(endpoint.name);
        else
            listed_[endpoint.name] = endpoint;
        endpoint = with_exclusion(std::move(endpoint));
    }
    next_.on_endpoint_list(kind, std::move(endpoints));
}

ListedEndpoint Exclusions::with_exclusion(ListedEndpoint endpoint) const {
    if (endpoint.endpoint.state == EndpointState::ready && is_excluded(endpoint.name))
        endpoint.endpoint.state = EndpointState::draining;
    return endpoint;
}

void Exclusions::report(const std::string& name) {
    const auto found = listed_.find(name);
    if (found == listed_.end()) return;
    next_.on_endpoint_list(EndpointListKind::changes, {with_exclusion(found->second)});
}

void Exclusions::exclude(const std::string& name) {
    if (excluded_.insert(name).second) report(name);
}

void Exclusions::include(const std::string& name) {
    if (excluded_.erase(name) > 0) report(name);
}

std::size_t Exclusions::listed_and_excluded_count() const {
    const auto is_listed = [this](const std::string& name) { return listed_.count(name) > 0; };
    return static_cast<std::size_t>(std::count_if(excluded_.begin(), excluded_.end(), is_listed));
}

}  // namespace sloestack::exclusions
