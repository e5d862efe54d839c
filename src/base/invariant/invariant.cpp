#include "invariant/invariant.h"

#include <string>

#include "log/log.h"

namespace sloestack::invariant {

Counter* Counter::first_ = nullptr;

Counter::Counter(const char* name) : name_(name), next_(first_) { first_ = this; }

void Counter::report() {
    for (auto* c = first_; c; c = c->next_) {
        if (c->broken_ == c->reported_) continue;
        c->reported_ = c->broken_;
        log::line("invariant broken", std::string(c->name_) + ", " + std::to_string(c->broken_) + " times");
    }
}

}  // namespace sloestack::invariant
