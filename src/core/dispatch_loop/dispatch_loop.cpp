#include "dispatch_loop/dispatch_loop.h"

#include <utility>

namespace sloestack::dispatch {

DispatchLoop::DispatchLoop(Deadlines& deadlines, const decision::Settings& settings, std::uint64_t seed,
                           metrics::RequestMetrics& metrics)
    : deadlines_(deadlines), metrics_(metrics), router_(settings, seed) {}

void DispatchLoop::set_targets(ActionTargets targets) { targets_.emplace(std::move(targets)); }

void DispatchLoop::run_iteration() {
    deadlines_.run_due();
    while (!queued_events_.empty()) step();
}

void DispatchLoop::step() {
    step_events_.swap(queued_events_);
    // The module hears of their end in this step; its actions may still name them.
    const auto closed = requests_.take_closed();
    actions_.clear();
    router_.step(deadlines_.now(), step_events_, actions_);
    step_events_.clear();
    for (const auto& action : actions_) std::visit([this](const auto& each) { execute(each); }, action);
    requests_.erase(closed);
}

}  // namespace sloestack::dispatch
