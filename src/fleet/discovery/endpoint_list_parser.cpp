#include "discovery/endpoint_list_parser.h"

#include <algorithm>
#include <iterator>

namespace sloestack::discovery {
namespace {

using decision::EndpointState;

constexpr int kUnknownZone = -1;

}  // namespace

int EndpointListParser::zone_number(const std::string& name) const {
    const auto found = std::find(zone_names_.begin(), zone_names_.end(), name);
    return found == zone_names_.end() ? kUnknownZone : static_cast<int>(found - zone_names_.begin());
}

traffic::ListedEndpoint EndpointListParser::endpoint_of(const EndpointEntryDecoder& entry) {
    traffic::ListedEndpoint listed;
    listed.name = entry.name();
    listed.endpoint.endpoint = ids_.id_of(listed.name);
    listed.endpoint.state = entry.state();
    listed.address = entry.address();
    listed.endpoint.replica_group = entry.replica_group();
    listed.endpoint.size = entry.size();
    listed.endpoint.started_at = entry.started_at();
    listed.endpoint.listed_primary = entry.listed_as_primary();
    listed.endpoint.zone = zone_number(entry.zone_name());
    return listed;
}

// Returns the endpoints that the list removes.
EndpointListParser::StartTimes EndpointListParser::update_listed(const EndpointList& list) {
    StartTimes removed;
    StartTimes named;
    for (const auto& listed : list.endpoints) {
        if (listed.endpoint.state != EndpointState::removed) {
            named[listed.name] = listed.endpoint.started_at;
            continue;
        }
        const auto known = listed_.find(listed.name);
        if (known != listed_.end()) removed.insert(listed_.extract(known));
        ids_.on_removed(listed.name);
    }
    if (list.complete) {
        for (const auto& [name, started_at] : listed_) {
            if (named.count(name) > 0) continue;
            removed.emplace(name, started_at);
            ids_.on_removed(name);
        }
        listed_.clear();
    }
    for (const auto& [name, started_at] : named) listed_[name] = started_at;
    return removed;
}

void EndpointListParser::retain_leaving(EndpointList& list, const StartTimes& removed) {
    const bool is_behind = list.complete && list.revision < catch_up_revision_;
    if (list.complete && !is_behind) leaving_.clear();
    for (auto& listed : list.endpoints) {
        auto& endpoint = listed.endpoint;
        const auto known = leaving_.find(listed.name);
        const bool same_process = known != leaving_.end() && known->second == endpoint.started_at;
        if (is_behind && same_process) endpoint.state = EndpointState::draining;
        if (endpoint.state == EndpointState::draining)
            leaving_[listed.name] = endpoint.started_at;
        else
            leaving_.erase(listed.name);
    }
    for (const auto& [name, started_at] : removed) leaving_[name] = started_at;
    forget_old_names();
    last_revision_ = list.revision;
    if (list.revision >= catch_up_revision_) catch_up_revision_ = -1;
}

// Bounds memory if endpoints are replaced under new names and no complete list arrives.
void EndpointListParser::forget_old_names() {
    if (leaving_.size() <= listed_.size() + EndpointIdRegistry::kMaxRetainedNames) return;
    for (auto it = leaving_.begin(); it != leaving_.end();)
        it = ids_.contains(it->first) ? std::next(it) : leaving_.erase(it);
}

void EndpointListParser::on_address_change() {
    catch_up_revision_ = std::max(catch_up_revision_, last_revision_);
}

EndpointList EndpointListParser::parse(const nlohmann::json& json,
                                       std::optional<std::int64_t> current_revision) {
    const EndpointListDecoder decoder(json);
    EndpointList list;
    list.revision = decoder.revision();
    if (current_revision && list.revision < *current_revision)
        throw EndpointListError("discovery list: revision " + std::to_string(list.revision) +
                                " is older than the current revision " + std::to_string(*current_revision));
    list.complete = decoder.is_complete();
    for (const auto& entry : decoder.entries())
        list.endpoints.push_back(endpoint_of({entry, list.endpoints.size()}));
    // Discovery that has lost its state sends an empty list, which would take the whole fleet out of service.
    if (list.complete && list.endpoints.empty() && !listed_.empty())
        throw EndpointListError("discovery list: complete but without endpoints");
    const auto removed = update_listed(list);
    retain_leaving(list, removed);
    return list;
}

EndpointList EndpointListParser::parse(const std::string& text,
                                       std::optional<std::int64_t> current_revision) {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded()) throw EndpointListError("discovery list: not valid JSON");
    return parse(json, current_revision);
}

}  // namespace sloestack::discovery
