// Counts the bytes that connections hold for their peers: received and not consumed, written and not taken.
// Each connection has a bound of its own; the ledger tells when all of them together hold too much.
#pragma once

#include <cstddef>

namespace sloestack::net {

class Ledger {
public:
    explicit Ledger(std::size_t most) : most_(most) {}
    Ledger(const Ledger&) = delete;
    Ledger& operator=(const Ledger&) = delete;

    void add(std::size_t bytes) { held_ += bytes; }
    void remove(std::size_t bytes) { held_ -= bytes; }
    void allow(std::size_t most) { most_ = most; }
    bool over() const { return held_ > most_; }
    std::size_t held() const { return held_; }

private:
    std::size_t most_, held_ = 0;
};

}  // namespace sloestack::net
