#include "metrics/metrics.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sloestack::metrics {
namespace {

// Every name from the start: a reader need not know which may come later.
template <class What, std::size_t N>
nlohmann::json by_name(const std::array<std::uint64_t, N>& counts) {
    auto out = nlohmann::json::object();
    for (std::size_t i = 0; i < N; ++i) out[decision::metric_name(static_cast<What>(i))] = counts[i];
    return out;
}

}  // namespace

Numbers::Numbers(std::vector<std::string> class_names) {
    for (auto& name : class_names) classes_.emplace_back().name = std::move(name);
}

Numbers::Class* Numbers::find(int request_class) {
    const auto at = static_cast<std::size_t>(request_class);
    return request_class >= 0 && at < classes_.size() ? &classes_[at] : nullptr;
}

void Numbers::answered(int request_class, What what) {
    if (auto* c = find(request_class)) count(c->answers[what]);
}

void Numbers::tried(int request_class) {
    if (auto* c = find(request_class)) count(c->tries);
}

void Numbers::given_up(int request_class, decision::RejectionReason cause) {
    if (auto* c = find(request_class)) count(c->causes[static_cast<std::size_t>(cause)]);
}

void Numbers::ended(int request_class, decision::Outcome outcome) {
    if (auto* c = find(request_class)) count(c->outcomes[static_cast<std::size_t>(outcome)]);
}

std::string Numbers::json(const State& state) const {
    auto responses = nlohmann::json::object(), reasons = responses, results = responses;
    std::uint64_t tries = 0;
    for (const auto& c : classes_) {
        responses[c.name] = {{"ok", c.answers[ok]},
                             {"shed", c.answers[shed]},
                             {"errors", c.answers[errors]},
                             {"tries", c.tries}};
        tries += c.tries;
        reasons[c.name] = by_name<decision::RejectionReason>(c.causes);
        results[c.name] = by_name<decision::Outcome>(c.outcomes);
    }
    return nlohmann::json{{"responses", responses},
                          {"reasons", reasons},
                          {"results", results},
                          {"tries", tries},
                          {"active", state.active},
                          {"pool_size", state.pool_size},
                          {"pool_ejected", state.pool_ejected}}
        .dump();
}

}  // namespace sloestack::metrics
