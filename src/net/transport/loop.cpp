#include "transport/loop.h"

#include <algorithm>
#include <stdexcept>

namespace sloestack::net {

Loop::Loop() {
    auto* config = event_config_new();
    if (!config) throw std::runtime_error("event loop: out of memory");
    // Deadlines are in microseconds; without this flag libevent waits in whole milliseconds.
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    base_.reset(event_base_new_with_config(config));
    event_config_free(config);
    if (!base_) throw std::runtime_error("event loop: libevent could not create it");
    timer_ = evtimer_new(
        base_.get(), [](evutil_socket_t, short, void*) {}, nullptr);
}

Loop::~Loop() {
    objects_to_delete_.clear();
    for (auto& signal : signals_) event_free(signal->signal_event);
    if (timer_) event_free(timer_);
}

void Loop::on_signal(int signal, std::function<void()> handler) {
    auto& added = *signals_.emplace_back(std::make_unique<Signal>());
    added.handler = std::move(handler);
    added.signal_event = evsignal_new(
        base_.get(), signal, [](evutil_socket_t, short, void* arg) { static_cast<Signal*>(arg)->handler(); },
        &added);
    evsignal_add(added.signal_event, nullptr);
}

void Loop::run_once(std::optional<Micros> max_wait_us) {
    if (max_wait_us) {
        const auto wait_us = std::max<Micros>(0, *max_wait_us);
        const timeval wait{static_cast<time_t>(wait_us / 1'000'000),
                           static_cast<suseconds_t>(wait_us % 1'000'000)};
        evtimer_add(timer_, &wait);
    }
    event_base_loop(base_.get(), EVLOOP_ONCE);
}

}  // namespace sloestack::net
