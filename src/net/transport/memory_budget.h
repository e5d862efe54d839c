// A memory budget for objects too large to be buffered without a reservation. There are two kinds of
// reservations, ordinary and large ones. Large ones may use a part of the limit only, so that they never keep
// ordinary ones waiting. Within a kind, reservations are granted in the order of the first request of each
// requester, so that smaller ones that would fit do not keep a larger one waiting.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_set>

namespace sloestack::net {

class MemoryBudget {
public:
    // The largest ordinary reservation.
    static constexpr std::size_t kMaxOrdinaryBytes = std::size_t{256} * 1024;

    explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    void set_limit(std::size_t limit) { limit_ = limit; }
    std::size_t reserved() const { return usage_->ordinary + usage_->large; }
    // Returns a reservation that is released with the last copy of the returned pointer; the pointer may
    // outlive the budget. Returns null if `requester` has to wait: it is queued then, and must call again
    // later or call stop_waiting(). While nothing of its kind is reserved, a request may exceed its part of
    // the limit, up to kMaxExcess times the limit.
    std::shared_ptr<void> reserve(std::size_t bytes, const void* requester) {
        const bool is_large = bytes > kMaxOrdinaryBytes;
        auto& queue = queues_[is_large ? 1 : 0];
        queue.add(requester);
        if (queue.front() != requester || !fits(bytes, is_large)) return nullptr;
        queue.remove(requester);
        auto& used = is_large ? usage_->large : usage_->ordinary;
        used += bytes;
        return {&used, [usage = usage_, &used, bytes](void*) { used -= bytes; }};
    }
    void stop_waiting(const void* requester) {
        for (auto& queue : queues_) queue.remove(requester);
    }

private:
    static constexpr std::size_t kMaxExcess = 2;

    struct Usage {
        std::size_t ordinary = 0;
        std::size_t large = 0;
    };

    // Requesters that wait, first come first.
    class Queue {
    public:
        void add(const void* requester) {
            if (members_.insert(requester).second) order_.push_back(requester);
        }
        void remove(const void* requester) {
            if (members_.erase(requester) == 0) return;
            order_.erase(std::find(order_.begin(), order_.end(), requester));
        }
        const void* front() const { return order_.front(); }

    private:
        std::deque<const void*> order_;
        std::unordered_set<const void*> members_;
    };

    std::size_t max_large() const { return limit_ - limit_ / 4; }
    bool fits(std::size_t bytes, bool is_large) const {
        const auto large = usage_->large;
        const auto ordinary = usage_->ordinary;
        if (bytes > kMaxExcess * limit_) return false;
        if (is_large) {
            const bool fits_part = large == 0 || large + bytes <= max_large();
            return fits_part && ordinary + std::min(large + bytes, max_large()) <= limit_;
        }
        return ordinary + std::min(large, max_large()) + bytes <= limit_ || ordinary + large == 0;
    }

    std::size_t limit_;
    std::shared_ptr<Usage> usage_ = std::make_shared<Usage>();  // shared with reservations
    std::array<Queue, 2> queues_;                               // of ordinary and of large reservations
};

// Returns the limit in bytes for the buffers of all client connections: a quarter of the process's memory
// limit, given in MiB.
constexpr std::size_t client_memory_limit_bytes(std::int64_t process_limit_mb) {
    constexpr std::size_t kBytesPerMb = std::size_t{1024} * 1024;
    constexpr std::size_t kClientShareDivisor = 4;
    return static_cast<std::size_t>(process_limit_mb) * kBytesPerMb / kClientShareDivisor;
}

}  // namespace sloestack::net
