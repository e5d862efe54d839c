#include "discovery/endpoint_list_parser.h"

#include <algorithm>

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

void EndpointListParser::update_listed(const EndpointList& list) {
    std::set<std::string> named;
    for (const auto& listed : list.endpoints) {
        if (listed.endpoint.state != EndpointState::removed) {
            named.insert(listed.name);
            continue;
        }
        listed_.erase(listed.name);
        ids_.on_removed(listed.name);
    }
    if (list.complete) {
        for (const auto& name : listed_)
            if (named.count(name) == 0) ids_.on_removed(name);
        listed_.clear();
    }
    listed_.merge(named);
}

void EndpointListParser::retain_draining(EndpointList& list) {
    const bool is_behind = list.complete && list.revision < catch_up_revision_;
    if (list.complete && !is_behind) draining_.clear();
    for (auto& listed : list.endpoints) {
        auto& endpoint = listed.endpoint;
        const auto known = draining_.find(listed.name);
        const bool same_process = known != draining_.end() && known->second == endpoint.started_at;
        if (is_behind && same_process) endpoint.state = EndpointState::draining;
        if (endpoint.state == EndpointState::draining)
            draining_[listed.name] = endpoint.started_at;
        else
            draining_.erase(listed.name);
    }
    last_revision_ = list.revision;
    if (list.revision >= catch_up_revision_) catch_up_revision_ = -1;
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
    update_listed(list);
    retain_draining(list);
    return list;
}

EndpointList EndpointListParser::parse(const std::string& text,
                                       std::optional<std::int64_t> current_revision) {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded()) throw EndpointListError("discovery list: not valid JSON");
    return parse(json, current_revision);
}

}  // namespace sloestack::discovery
