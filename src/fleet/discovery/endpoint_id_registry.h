// Numeric ids for endpoints, which discovery knows by name. A name keeps its id while it is listed and long
// after, and has the same one at every proxy wherever possible, so that equal decisions name the same
// endpoint.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "sloestack/router.h"

namespace sloestack::discovery {

class EndpointIdRegistry {
public:
    // The id of the name, assigned now where it has none. The name counts as listed from here on.
    decision::EndpointId id_of(const std::string& name);
    // The name is listed no more. Bounds memory where endpoints are replaced for good: of such names only the
    // last `kMaxRetainedNames` keep their ids.
    void on_removed(const std::string& name);
    bool contains(const std::string& name) const { return by_name_.count(name) > 0; }
    std::size_t size() const { return by_name_.size(); }

    static constexpr std::size_t kMaxRetainedNames = 1024;

private:
    struct Assignment {
        decision::EndpointId id;
        std::uint64_t removal_sequence = 0;  // 0: listed
    };

    std::map<std::string, Assignment> by_name_;
    std::map<decision::EndpointId, std::string> by_id_;
    std::map<std::uint64_t, std::string> removed_;  // by removal sequence: the oldest first
    std::uint64_t last_removal_sequence_ = 0;
};

}  // namespace sloestack::discovery
