// Why an endpoint list of discovery has been rejected, and which of its entries is at fault.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>

namespace sloestack::discovery {

class EndpointListError : public std::runtime_error {
public:
    // The list as a whole is at fault.
    explicit EndpointListError(const std::string& reason) : std::runtime_error(reason) {}
    // One entry is, counted from 0 as in the JSON array.
    EndpointListError(std::size_t entry, const std::string& reason)
        : std::runtime_error("discovery list, entry " + std::to_string(entry) + ": " + reason),
          entry_(entry) {}

    std::optional<std::size_t> entry() const { return entry_; }

private:
    std::optional<std::size_t> entry_;
};

}  // namespace sloestack::discovery
