#include "dispatch_loop/dispatch_loop.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sloestack::dispatch {
namespace {

std::vector<bool> classes_that_record_session_writes(const decision::Settings& settings) {
    std::vector<bool> out;
    for (const auto& request_class : settings.classes)
        out.push_back(request_class.is_write && !settings.last_write_age_reported);
    return out;
}

}  // namespace

DispatchLoop::DispatchLoop(Deadlines& deadlines, const decision::Settings& settings, std::uint64_t seed,
                           metrics::RequestMetrics& metrics)
    : deadlines_(deadlines),
      metrics_(metrics),
      router_(settings, seed),
      records_session_writes_(classes_that_record_session_writes(settings)) {}

void DispatchLoop::set_targets(ActionTargets targets) { targets_.emplace(std::move(targets)); }

void DispatchLoop::run_iteration() {
    deadlines_.run_due();
    while (is_step_due_ || !queued_events_.empty() || !peer_events_.empty()) step();
}

void DispatchLoop::take_step_events() {
    step_events_.clear();
    step_events_.swap(peer_events_);
    if (step_events_.empty()) return step_events_.swap(queued_events_);
    std::move(queued_events_.begin(), queued_events_.end(), std::back_inserter(step_events_));
    queued_events_.clear();
}

void DispatchLoop::step() {
    is_step_due_ = false;
    take_step_events();
    // This step reports the end of these requests to the decision module, whose actions may still refer to
    // them: they are erased only after the actions have been carried out.
    const auto closed = requests_.take_closed();
    actions_.clear();
    step_began_at_ = deadlines_.now();
    router_.step(step_began_at_, step_events_, actions_);
    for (const auto& action : actions_) std::visit([this](const auto& each) { execute(each); }, action);
    requests_.erase(closed);
}

}  // namespace sloestack::dispatch
