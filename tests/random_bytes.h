// Random input for parsers.
#pragma once

#include <cstddef>
#include <random>
#include <string>

/// `size` bytes drawn from `random`; any byte may come.
inline std::string random_bytes(std::mt19937& random, std::size_t size) {
    std::string out(size, '\0');
    for (auto& byte : out) byte = static_cast<char>(random());
    return out;
}
