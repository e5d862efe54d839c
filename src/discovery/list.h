// Discovery's list of members: reading its JSON into entries.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "traffic/traffic.h"

namespace sloestack::discovery {

struct List {
    std::int64_t revision = 0;
    bool complete = false;
    std::vector<traffic::Entry> members;
};

// Members have names; the decisions want small numbers. A name keeps its number for the life of the process,
// and as far as possible it is the same at every proxy: equal decisions then mean the same member.
class Numbers {
public:
    nettletrestle::ServerId of(const std::string& name);

private:
    std::map<std::string, nettletrestle::ServerId> by_name_;
    std::map<nettletrestle::ServerId, std::string> by_number_;
};

class Reader {
public:
    explicit Reader(std::vector<std::string> zones) : zones_(std::move(zones)) {}
    // Throws std::runtime_error saying what is wrong with the list.
    List read(const nlohmann::json& json);
    List read(const std::string& text);

private:
    traffic::Entry entry(const nlohmann::json& json);

    std::vector<std::string> zones_;
    Numbers numbers_;
};

}  // namespace sloestack::discovery
