// Random numbers of a router. Equal seeds and an equal sequence of calls produce equal numbers, so the order
// of the calls affects every later decision.
#pragma once

#include <cstdint>
#include <random>

namespace sloestack::decision {

class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
    // Returns a number uniformly distributed in [0, 1).
    double unit() { return std::uniform_real_distribution<>()(engine_); }

private:
    std::mt19937_64 engine_;
};

}  // namespace sloestack::decision
