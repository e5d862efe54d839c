// Assigns numeric ids to endpoints, which discovery identifies by name. A name keeps its id while it is
// listed and long after. Ids are derived from the names, so that all proxies use the same id for an endpoint
// unless two names collide.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "sloestack/router.h"

namespace sloestack::discovery {

class EndpointIdRegistry {
public:
    // Returns the name's id and assigns one if it has none. Marks the name as listed.
    decision::EndpointId id_of(const std::string& name);
    // Marks the name as no longer listed. Only the last `kMaxRetainedNames` names so marked keep their ids,
    // which bounds memory in fleets whose endpoints are replaced under new names.
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
    std::map<std::uint64_t, std::string> removed_;  // by removal sequence, oldest first
    std::uint64_t last_removal_sequence_ = 0;
};

}  // namespace sloestack::discovery
