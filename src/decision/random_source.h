// The router's stream of random numbers. Equal seeds and equal calls give equal numbers, so the order of
// calls is part of what a router decides.
#pragma once

#include <cstdint>
#include <random>

namespace sloestack::decision {

class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
    // Uniform in [0, 1).
    double unit() { return std::uniform_real_distribution<>()(engine_); }

private:
    std::mt19937_64 engine_;
};

}  // namespace sloestack::decision
