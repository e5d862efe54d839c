// A memory budget for objects too large to be buffered without a reservation. Reservations are granted in the
// order of the first request of each requester, so that smaller ones that would fit do not keep a large one
// waiting.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

namespace sloestack::net {

class MemoryBudget {
public:
    explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    void set_limit(std::size_t limit) { limit_ = limit; }
    std::size_t reserved() const { return *reserved_; }
    // Returns a reservation that is released with the last copy of the returned pointer; the pointer may
    // outlive the budget. Returns null if `requester` has to wait: it is queued then, and must call again
    // later or call stop_waiting(). While nothing is reserved, the first request in the queue is granted
    // whatever its size.
    std::shared_ptr<void> reserve(std::size_t bytes, const void* requester) {
        const bool is_queued = std::find(queue_.begin(), queue_.end(), requester) != queue_.end();
        if (!is_queued) queue_.push_back(requester);
        const bool fits = *reserved_ == 0 || *reserved_ + bytes <= limit_;
        if (queue_.front() != requester || !fits) return nullptr;
        queue_.pop_front();
        *reserved_ += bytes;
        return {reserved_.get(), [total = reserved_, bytes](void*) { *total -= bytes; }};
    }
    void stop_waiting(const void* requester) { queue_.remove(requester); }

private:
    std::size_t limit_;
    std::shared_ptr<std::size_t> reserved_ = std::make_shared<std::size_t>(0);  // shared with reservations
    std::list<const void*> queue_;  // requesters that wait, first come first
};

// Returns the limit in bytes for the buffers of all client connections: a quarter of the process's memory
// limit, given in MiB.
constexpr std::size_t client_memory_limit_bytes(std::int64_t process_limit_mb) {
    constexpr std::size_t kBytesPerMb = std::size_t{1024} * 1024;
    constexpr std::size_t kClientShareDivisor = 4;
    return static_cast<std::size_t>(process_limit_mb) * kBytesPerMb / kClientShareDivisor;
}

}  // namespace sloestack::net
