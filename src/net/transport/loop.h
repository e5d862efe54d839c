// The event loop, based on libevent and run one iteration at a time.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "deadlines/clock.h"

namespace sloestack::net {

class Loop {
public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    event_base* base() const { return base_.get(); }
    // Calls `handler` on the event loop whenever the process receives `signal`.
    void on_signal(int signal, std::function<void()> handler);
    // Waits until an event occurs or `max_wait_us` has passed (without limit if it is std::nullopt), and runs
    // the callbacks of all events that have occurred.
    void run_once(std::optional<Micros> max_wait_us);

    // Destroys `object` in end_iteration(): one of its functions may still be on the call stack.
    template <class T>
    void delete_later(std::unique_ptr<T> object) {
        objects_to_delete_.emplace_back(std::move(object));
    }
    void end_iteration() { objects_to_delete_.clear(); }

private:
    struct Signal {
        std::function<void()> handler;
        event* signal_event = nullptr;
    };
    struct FreeBase {
        void operator()(event_base* b) const { event_base_free(b); }
    };
    std::unique_ptr<event_base, FreeBase> base_;
    event* timer_ = nullptr;
    std::vector<std::unique_ptr<Signal>> signals_;
    std::vector<std::shared_ptr<void>> objects_to_delete_;
};

}  // namespace sloestack::net
