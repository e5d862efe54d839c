// Deadlines: order, removal, and those added during a sweep.
#include "deadlines/deadlines.h"

#include <gtest/gtest.h>

#include <string>

namespace {

using namespace sloestack;

TEST(Deadlines, RunInOrderAndOnlyWhenDue) {
    const Clock clock;
    Deadlines all(clock);
    std::string order;
    const Time past = clock.now() - 1000;
    Deadline taken_back;
    taken_back.set(all, past, [&] { order += "x"; });
    all.add(past, [&] { order += "b"; });
    all.add(past - 1, [&] {
        order += "a";
        taken_back.clear();
        all.add(past, [&] { order += "c"; });  // due already, but for the next sweep
    });
    all.add(clock.now() + 3'600'000'000, [&] { order += "never"; });
    all.run_due();
    ASSERT_TRUE(order == "ab");
    all.run_due();
    ASSERT_TRUE(order == "abc" && all.size() == 1);
}

}  // namespace
