// Divides the process's file descriptors between the kinds of connections and counts those in use.
#pragma once

#include <utility>

namespace sloestack::net {

class DescriptorQuota;

// One descriptor of a quota, released when the slot is destroyed. Empty if the quota had none left.
class DescriptorSlot {
public:
    DescriptorSlot() = default;
    DescriptorSlot(DescriptorSlot&& other) noexcept : quota_(std::exchange(other.quota_, nullptr)) {}
    DescriptorSlot& operator=(DescriptorSlot&& other) noexcept {
        std::swap(quota_, other.quota_);
        return *this;
    }
    ~DescriptorSlot();
    explicit operator bool() const { return quota_ != nullptr; }

private:
    friend class DescriptorQuota;
    explicit DescriptorSlot(DescriptorQuota* quota) : quota_(quota) {}
    DescriptorQuota* quota_ = nullptr;
};

// Counts the descriptors of one kind of connection against a limit. Must outlive its slots.
class DescriptorQuota {
public:
    explicit DescriptorQuota(int limit) : limit_(limit) {}
    DescriptorQuota(const DescriptorQuota&) = delete;
    DescriptorQuota& operator=(const DescriptorQuota&) = delete;

    // Returns an empty slot if the limit is reached.
    DescriptorSlot acquire() {
        if (is_full()) return {};
        ++in_use_;
        return DescriptorSlot(this);
    }
    // Slots in use beyond a lowered limit stay valid until they are released.
    void set_limit(int limit) { limit_ = limit; }
    bool is_exceeded() const { return in_use_ > limit_; }
    bool is_full() const { return in_use_ >= limit_; }
    int in_use() const { return in_use_; }
    int limit() const { return limit_; }

private:
    friend class DescriptorSlot;
    int limit_;
    int in_use_ = 0;
};

inline DescriptorSlot::~DescriptorSlot() {
    if (quota_) --quota_->in_use_;
}

struct DescriptorShares {
    int clients;    // connections of clients whose requests are served
    int overflow;   // connections of clients whose requests are all rejected
    int lingering;  // connections of clients that are in a lingering close
    int upstream;   // connections to endpoints
    constexpr int total() const { return clients + overflow + lingering + upstream; }
};

// Divides `descriptors`, the process's descriptor limit, into shares. Keeps back a reserve for the process's
// own descriptors (log, event loop, listener, discovery) that is twice their number.
constexpr DescriptorShares divide_descriptors(int descriptors) {
    constexpr int kMaxReserved = 32;  // the process itself uses half of them
    const int reserved = descriptors < 4 * kMaxReserved ? descriptors / 4 : kMaxReserved;
    const int overflow = reserved / 2;
    const int lingering = reserved / 2;
    const int rest = descriptors - reserved - overflow - lingering;
    return {rest * 3 / 5, overflow, lingering, rest * 2 / 5};
}

}  // namespace sloestack::net
