// Discovery's list of members: reading its JSON into entries.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "traffic/endpoint_list.h"

namespace sloestack::discovery {

struct List {
    std::int64_t revision = 0;
    bool complete = false;
    std::vector<traffic::ListedEndpoint> members;
};

// Members have names; the decisions want small numbers. A name keeps its number for as long as it is listed
// and long after, and as far as possible it is the same at every proxy: equal decisions then mean the same
// member.
class Numbers {
public:
    decision::EndpointId of(const std::string& name);
    // The name is listed no more. Guards against growth where members are replaced for good: of such names
    // only the last `kMostGone` keep their numbers.
    void gone(const std::string& name);
    bool knows(const std::string& name) const { return by_name_.count(name) > 0; }
    std::size_t size() const { return by_name_.size(); }

    static constexpr std::size_t kMostGone = 1024;

private:
    struct Known {
        decision::EndpointId number;
        std::uint64_t gone_at = 0;  // 0: listed
    };
    std::map<std::string, Known> by_name_;
    std::map<decision::EndpointId, std::string> by_number_;
    std::map<std::uint64_t, std::string> gone_;  // in the order they went
    std::uint64_t went_ = 0;
};

class Reader {
public:
    explicit Reader(std::vector<std::string> zones) : zones_(std::move(zones)) {}
    // Throws std::runtime_error saying what is wrong with the list, also where it is older than `held`.
    List read(const nlohmann::json& json, std::optional<std::int64_t> held = {});
    List read(const std::string& text, std::optional<std::int64_t> held = {});
    // Discovery is at another address, whose revisions may begin lower. What has been read stays: a list that
    // is older by its number may add members, but takes back no drain of a process that it names as the same.
    void moved() { older_than_ = std::max(older_than_, newest_); }
    bool ever_listed(const std::string& name) const { return numbers_.knows(name); }
    std::size_t names() const { return numbers_.size(); }

private:
    traffic::ListedEndpoint entry(const nlohmann::json& json);
    void keep_numbers(const nlohmann::json& members, bool complete);
    void keep_drains(List& list);

    std::vector<std::string> zones_;
    Numbers numbers_;
    std::set<std::string> listed_;
    std::map<std::string, decision::Time> draining_;  // and when each such process had started
    std::int64_t newest_ = -1, older_than_ = -1;
};

}  // namespace sloestack::discovery
