// Prints what routers decide, an action a line, in names of its own: the lines of two builds can be compared
// however the interface's names have changed between them.
#pragma once

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "sloestack/router.h"

namespace decision_trace {

class Trace {
public:
    explicit Trace(std::FILE* out) : out_(out) {}

    void actions(sloestack::decision::Time now, int router,
                 const std::vector<sloestack::decision::Action>& actions);
    void avoided(sloestack::decision::Time now, int router, std::size_t count);
    void count_event(const char* kind) { ++counts_[std::string("event ") + kind]; }
    // How often each kind of event, action and reason came, and begins anew.
    void summary(const std::string& scenario);

private:
    std::FILE* out_;
    std::map<std::string, std::uint64_t> counts_;
};

}  // namespace decision_trace
