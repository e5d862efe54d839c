// Shares of the process's descriptors. A Slot is one descriptor's leave to exist and goes with its owner.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>

namespace sloestack::net {

class Quota;

class Slot {
public:
    Slot() = default;
    Slot(Slot&& other) noexcept : of_(std::exchange(other.of_, nullptr)) {}
    Slot& operator=(Slot&& other) noexcept {
        std::swap(of_, other.of_);
        return *this;
    }
    ~Slot();
    explicit operator bool() const { return of_ != nullptr; }

private:
    friend class Quota;
    explicit Slot(Quota* of) : of_(of) {}
    Quota* of_ = nullptr;
};

class Quota {
public:
    explicit Quota(int most) : most_(most) {}
    Quota(const Quota&) = delete;
    Quota& operator=(const Quota&) = delete;

    Slot take() { return taken_ < most_ ? (++taken_, Slot(this)) : Slot(); }
    void allow(int most) { most_ = most; }  // what is taken beyond it stays until it is given back
    bool over() const { return taken_ > most_; }
    bool full() const { return taken_ >= most_; }
    int taken() const { return taken_; }
    int most() const { return most_; }

private:
    friend class Slot;
    int most_, taken_ = 0;
};

inline Slot::~Slot() {
    if (of_) --of_->taken_;
}

// How the descriptors are dealt out. What the process itself holds (log, event loop, listener, discovery) and
// some room to spare come first; clients and members share the rest.
struct Shares {
    int clients, overflow, lingering, members;
    constexpr int all() const { return clients + overflow + lingering + members; }
};
constexpr Shares share(int descriptors) {
    constexpr int kOwn = 32;  // half of it is in use; a small share is a quarter of what there is
    const int own = descriptors < 4 * kOwn ? descriptors / 4 : kOwn;
    const int rest = descriptors - own - own / 2 - own / 2;
    return {rest * 3 / 5, own / 2, own / 2, rest * 2 / 5};
}

// What clients' connections may hold in all: the program itself needs some 10 MB, members' answers and what
// the module knows the rest.
constexpr std::size_t bytes_for_clients(std::int64_t memory_mb) {
    return static_cast<std::size_t>(memory_mb) * 1024 * 1024 / 4;
}

}  // namespace sloestack::net
