// Prints the actions of routers, one a line. The words are this file's own and do not follow renames of the
// decision module's interface, so that the output of builds before and after a rename can be compared.
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

    void print_actions(sloestack::decision::Time now, int router,
                       const std::vector<sloestack::decision::Action>& actions);
    // Prints the number of endpoints that a router has ejected.
    void print_ejected_count(sloestack::decision::Time now, int router, std::size_t count);
    void count_event(const char* kind) { ++counts_[std::string("event ") + kind]; }
    // Prints the number of each kind of event, action and reason, and resets the counts.
    void print_summary(const std::string& scenario);

private:
    std::FILE* out_;
    std::map<std::string, std::uint64_t> counts_;
};

}  // namespace decision_trace
