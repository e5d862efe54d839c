// The deadlines of requests, earliest first.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "sloestack/router.h"

namespace sloestack::decision {

class DeadlineQueue {
public:
    void add(Time deadline, RequestId request) { queue_.emplace(deadline, request); }
    // Removes and returns a request whose deadline is not after `limit`.
    std::optional<RequestId> pop_due(Time limit) {
        if (queue_.empty() || queue_.top().first > limit) return std::nullopt;
        const auto request = queue_.top().second;
        queue_.pop();
        return request;
    }
    // Removes the deadlines of requests that have ended, once most of the deadlines are theirs: a client may
    // state a deadline that is hours away. `is_open` tells whether a request has not ended.
    template <class IsOpen>
    void remove_ended(std::size_t open_count, IsOpen is_open) {
        if (queue_.size() <= 2 * open_count + kMinRemovalSize) return;
        std::vector<Deadline> open;
        while (!queue_.empty()) {
            if (is_open(queue_.top().second)) open.push_back(queue_.top());
            queue_.pop();
        }
        queue_ = Queue(std::greater<>(), std::move(open));
    }
    std::size_t size() const { return queue_.size(); }

    static constexpr std::size_t kMinRemovalSize = 1'024;

private:
    using Deadline = std::pair<Time, RequestId>;
    using Queue = std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>>;

    Queue queue_;
};

}  // namespace sloestack::decision
