// Finalizer of SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014): a
// bijection on 64-bit numbers that maps similar inputs to unrelated outputs.
#pragma once

#include <cstdint>

namespace sloestack::decision {

// The increment of SplitMix64; callers add it to a value before mixing.
constexpr std::uint64_t kSplitMixIncrement = 0x9e3779b97f4a7c15u;

constexpr std::uint64_t split_mix(std::uint64_t value) {
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return value ^ (value >> 31);
}

}  // namespace sloestack::decision
