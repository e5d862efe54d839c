#include "numbers/numbers.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sloestack::numbers {

Numbers::Numbers(std::vector<std::string> class_names) {
    for (auto& name : class_names) classes_.emplace_back().name = std::move(name);
}

Numbers::Class* Numbers::find(int klass) {
    const auto at = static_cast<std::size_t>(klass);
    return klass >= 0 && at < classes_.size() ? &classes_[at] : nullptr;
}

void Numbers::answered(int klass, What what) {
    if (auto* c = find(klass)) ++c->answers[what];
}

void Numbers::tried(int klass) {
    if (auto* c = find(klass)) ++c->tries;
}

std::string Numbers::json(const State& state) const {
    auto responses = nlohmann::json::object();
    std::uint64_t tries = 0;
    for (const auto& c : classes_) {
        responses[c.name] = {{"ok", c.answers[ok]},
                             {"shed", c.answers[shed]},
                             {"errors", c.answers[errors]},
                             {"tries", c.tries}};
        tries += c.tries;
    }
    return nlohmann::json{{"responses", responses},
                          {"tries", tries},
                          {"active", state.active},
                          {"pool_size", state.pool_size},
                          {"pool_ejected", state.pool_ejected}}
        .dump();
}

}  // namespace sloestack::numbers
