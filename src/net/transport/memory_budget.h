// A budget of memory for what is too large to be held without asking. Reservations are granted in the order
// of their first request, so that a large one is not kept waiting by smaller ones that fit in between.
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
    // A reservation, released with the last copy of the returned pointer, which may outlive the budget. Null
    // where `requester` has to wait: it is queued, and asks again later or calls stop_waiting(). While
    // nothing is reserved a request is granted whatever its size.
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
    std::shared_ptr<std::size_t> reserved_ = std::make_shared<std::size_t>(0);  // outlives reservations
    std::list<const void*> queue_;
};

// What clients' connections may hold in all: a quarter of the process's memory limit.
constexpr std::size_t client_memory_limit_bytes(std::int64_t process_limit_mb) {
    constexpr std::size_t kBytesPerMb = std::size_t{1024} * 1024;
    constexpr std::size_t kClientShareDivisor = 4;
    return static_cast<std::size_t>(process_limit_mb) * kBytesPerMb / kClientShareDivisor;
}

}  // namespace sloestack::net
