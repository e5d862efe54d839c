#include "transport/loop.h"

#include <algorithm>
#include <stdexcept>

namespace sloestack::net {

Loop::Loop() {
    auto* config = event_config_new();
    if (!config) throw std::runtime_error("event loop: out of memory");
    // Deadlines are kept to the microsecond: without this flag the loop sleeps whole milliseconds.
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    base_.reset(event_base_new_with_config(config));
    event_config_free(config);
    if (!base_) throw std::runtime_error("event loop: cannot be made");
    timer_ = evtimer_new(
        base_.get(), [](evutil_socket_t, short, void*) {}, nullptr);
}

Loop::~Loop() {
    deferred_.clear();
    for (auto& s : signals_) event_free(s->handle);
    if (timer_) event_free(timer_);
}

void Loop::on_signal(int signal, std::function<void()> what) {
    auto& s = *signals_.emplace_back(std::make_unique<Signal>());
    s.what = std::move(what);
    s.handle = evsignal_new(
        base_.get(), signal, [](evutil_socket_t, short, void* arg) { static_cast<Signal*>(arg)->what(); },
        &s);
    evsignal_add(s.handle, nullptr);
}

void Loop::run_once(std::optional<Micros> at_most) {
    if (at_most) {
        const auto wait = std::max<Micros>(0, *at_most);
        const timeval tv{static_cast<time_t>(wait / 1'000'000), static_cast<suseconds_t>(wait % 1'000'000)};
        evtimer_add(timer_, &tv);
    }
    event_base_loop(base_.get(), EVLOOP_ONCE);
}

}  // namespace sloestack::net
