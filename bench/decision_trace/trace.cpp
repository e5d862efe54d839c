#include "trace.h"

#include <array>

namespace decision_trace {
namespace {

using namespace sloestack::decision;

// Indexed by RejectionReason; the order of its enumerators is part of what is compared.
constexpr std::array<const char*, kRejectionReasonCount> kReasonWords = {
    "class-unknown",  "write-throttled", "read-not-admitted", "no-primary", "none-eligible",
    "ejected",        "slow-start",      "at-capacity",       "stale",      "deadline",
    "not-repeatable", "retry-budget",    "errors-repeat"};

const char* reason_word(RejectionReason reason) { return kReasonWords[static_cast<std::size_t>(reason)]; }

struct Line {
    std::string text;
    std::string kind;
};

long long to_long_long(std::int64_t value) { return static_cast<long long>(value); }

struct LineOf {
    template <class... Parts>
    static Line line(const std::string& kind, Parts... parts) {
        Line out{kind, kind};
        ((out.text += " " + std::to_string(parts)), ...);
        return out;
    }
    Line operator()(const Forward& a) const {
        return line("forward", a.request, a.endpoint, to_long_long(a.timeout_us),
                    to_long_long(a.deliver_within_us.value_or(-1)));
    }
    Line operator()(const Reject& a) const {
        return line(std::string("reject ") + reason_word(a.reason), a.request,
                    to_long_long(a.retry_after_us));
    }
    Line operator()(const Fail& a) const {
        return line(std::string("fail ") + reason_word(a.reason), a.request);
    }
    Line operator()(const Cancel& a) const { return line("cancel", a.request, a.attempt); }
    Line operator()(const SetTimer& a) const { return line("timer", to_long_long(a.delay_us), a.token); }
    Line operator()(const StartHealthCheck& a) const { return line("health-check", a.endpoint); }
    Line operator()(const PollDiscovery&) const { return line("fetch-list"); }
    // The text of a log action may change between builds; its place among the actions may not.
    Line operator()(const Log&) const { return line("log"); }
};

}  // namespace

void Trace::print_actions(Time now, int router, const std::vector<Action>& actions) {
    for (const auto& action : actions) {
        const auto line = std::visit(LineOf{}, action);
        ++counts_["action " + line.kind];
        std::fprintf(out_, "%lld %d %s\n", to_long_long(now), router, line.text.c_str());
    }
}

void Trace::print_ejected_count(Time now, int router, std::size_t count) {
    std::fprintf(out_, "%lld %d avoided %zu\n", to_long_long(now), router, count);
}

void Trace::print_summary(const std::string& scenario) {
    for (const auto& [kind, count] : counts_)
        std::fprintf(out_, "summary %s %s %llu\n", scenario.c_str(), kind.c_str(),
                     static_cast<unsigned long long>(count));
    counts_.clear();
}

}  // namespace decision_trace
