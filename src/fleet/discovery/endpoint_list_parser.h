// Turns discovery's endpoint lists into entries of the decision module. Rejects lists that would take back
// what is known, and holds what later lists are judged by.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "discovery/endpoint_id_registry.h"
#include "discovery/endpoint_list_codec.h"
#include "discovery/endpoint_list_error.h"
#include "traffic/endpoint_list.h"

namespace sloestack::discovery {

struct EndpointList {
    std::int64_t revision = 0;
    bool complete = false;  // all endpoints, not only those that have changed
    std::vector<traffic::ListedEndpoint> endpoints;
};

class EndpointListParser {
public:
    // The names of the zones, each at its number in the decision module.
    explicit EndpointListParser(std::vector<std::string> zone_names) : zone_names_(std::move(zone_names)) {}

    // Throws EndpointListError where the list is malformed, has a lower revision than the one held, or is
    // complete and empty while endpoints are known.
    EndpointList parse(const nlohmann::json& json, std::optional<std::int64_t> held_revision = {});
    EndpointList parse(const std::string& text, std::optional<std::int64_t> held_revision = {});
    // Discovery is at another address, whose revisions may begin lower. Until they reach the last one seen, a
    // list may add endpoints, but does not take back that a process, known by its start time, is draining.
    void on_address_change();

    // Whether any list has named the endpoint; those removed long ago are forgotten.
    bool was_ever_listed(const std::string& name) const { return ids_.contains(name); }
    std::size_t known_name_count() const { return ids_.size(); }

private:
    traffic::ListedEndpoint endpoint_of(const EndpointEntryDecoder& entry);
    int zone_number(const std::string& name) const;
    void update_listed(const EndpointList& list);
    void retain_draining(EndpointList& list);

    std::vector<std::string> zone_names_;
    EndpointIdRegistry ids_;
    std::set<std::string> listed_;
    std::map<std::string, decision::Time> draining_;  // name to the start time of the process
    std::int64_t last_revision_ = -1;
    std::int64_t catch_up_revision_ = -1;  // complete lists below it may not end a drain
};

}  // namespace sloestack::discovery
