// The error for an endpoint list that is rejected, with the entry at fault.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>

namespace sloestack::discovery {

class EndpointListError : public std::runtime_error {
public:
    // For a fault of the list as a whole.
    explicit EndpointListError(const std::string& reason) : std::runtime_error(reason) {}
    // For a fault of one entry, given by its index in the JSON array, from 0.
    EndpointListError(std::size_t entry, const std::string& reason)
        : std::runtime_error("discovery list, entry " + std::to_string(entry) + ": " + reason),
          entry_(entry) {}

    std::optional<std::size_t> entry() const { return entry_; }

private:
    std::optional<std::size_t> entry_;
};

}  // namespace sloestack::discovery
