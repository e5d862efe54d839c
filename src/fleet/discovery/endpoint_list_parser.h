// Converts discovery's endpoint lists into entries for the decision module. Rejects malformed lists, lists
// with an older revision, and empty lists while endpoints are known; keeps the state that these checks need.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
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
    bool complete = false;  // whether it names all endpoints, rather than only those that have changed
    std::vector<traffic::ListedEndpoint> endpoints;
};

class EndpointListParser {
public:
    // `zone_names` holds each zone's name at the index that is the zone's number in the decision module.
    explicit EndpointListParser(std::vector<std::string> zone_names) : zone_names_(std::move(zone_names)) {}

    // Throws EndpointListError if the list is malformed, has a lower revision than `current_revision`, or is
    // complete and empty while endpoints are known.
    EndpointList parse(const nlohmann::json& json, std::optional<std::int64_t> current_revision = {});
    EndpointList parse(const std::string& text, std::optional<std::int64_t> current_revision = {});
    // Called when discovery moves to another address, whose revisions may start lower. Until they reach the
    // last revision parsed, a complete list may add endpoints but does not bring back a process that drains
    // or has been removed, which is identified by its start time.
    void on_address_change();

    // Returns whether any list has named the endpoint. Names removed long ago are forgotten.
    bool was_ever_listed(const std::string& name) const { return ids_.contains(name); }
    std::size_t known_name_count() const { return ids_.size(); }

private:
    using StartTimes = std::map<std::string, decision::Time>;  // by endpoint name

    traffic::ListedEndpoint endpoint_of(const EndpointEntryDecoder& entry);
    int zone_number(const std::string& name) const;
    StartTimes update_listed(const EndpointList& list);
    void retain_leaving(EndpointList& list, const StartTimes& removed);
    void forget_old_names();

    std::vector<std::string> zone_names_;
    EndpointIdRegistry ids_;
    StartTimes listed_;
    StartTimes leaving_;  // of the processes that drain or have been removed
    std::int64_t last_revision_ = -1;
    std::int64_t catch_up_revision_ = -1;  // complete lists of a lower revision bring nothing back
};

}  // namespace sloestack::discovery
