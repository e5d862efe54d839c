// The event loop: libevent underneath, one iteration at a time.
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
    void on_signal(int signal, std::function<void()> what);
    // Waits until something has come in or the time has passed, and handles all that has come in.
    void run_once(std::optional<Micros> at_most);

    // Keeps an object that may still be on the call stack until the iteration is over.
    template <class T>
    void delete_later(std::unique_ptr<T> object) {
        deferred_.emplace_back(std::move(object));
    }
    void end_iteration() { deferred_.clear(); }

private:
    struct Signal {
        std::function<void()> what;
        event* handle = nullptr;
    };
    struct FreeBase {
        void operator()(event_base* b) const { event_base_free(b); }
    };
    std::unique_ptr<event_base, FreeBase> base_;
    event* timer_ = nullptr;
    std::vector<std::unique_ptr<Signal>> signals_;
    std::vector<std::shared_ptr<void>> deferred_;
};

}  // namespace sloestack::net
