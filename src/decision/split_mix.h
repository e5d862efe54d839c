// SplitMix64's finalizer (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014):
// spreads any 64-bit number over all of them, so that numbers close to each other give unrelated results.
#pragma once

#include <cstdint>

namespace sloestack::decision {

// Added to a number before it is mixed; the generator's increment.
constexpr std::uint64_t kSplitMixIncrement = 0x9e3779b97f4a7c15u;

constexpr std::uint64_t split_mix(std::uint64_t value) {
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return value ^ (value >> 31);
}

}  // namespace sloestack::decision
