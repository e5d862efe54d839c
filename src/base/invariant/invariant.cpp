#include "invariant/invariant.h"

#include <string>

#include "log/log.h"

namespace sloestack::invariant {

Counter* Counter::first_ = nullptr;

Counter::Counter(const char* name) : name_(name), next_(first_) { first_ = this; }

void Counter::report() {
    for (auto* counter = first_; counter; counter = counter->next_) {
        if (counter->broken_ == counter->reported_) continue;
        counter->reported_ = counter->broken_;
        const auto times = std::to_string(counter->broken_) + " times";
        log::line("invariant broken", std::string(counter->name_) + ", " + times);
    }
}

}  // namespace sloestack::invariant
