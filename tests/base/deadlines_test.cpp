// Order of deadlines, and deadlines that a callback clears or adds.
#include "deadlines/deadlines.h"

#include <gtest/gtest.h>

#include <string>

namespace {

using namespace sloestack;

TEST(Deadlines, RunsDueCallbacksInOrder) {
    const Clock clock;
    Deadlines deadlines(clock);
    std::string order;
    const Time past = clock.now() - 1000;
    Deadline cleared;
    cleared.set(deadlines, past, [&] { order += "x"; });
    deadlines.add(past, [&] { order += "b"; });
    deadlines.add(past - 1, [&] {
        order += "a";
        cleared.clear();
        deadlines.add(past, [&] { order += "c"; });  // due already, but runs in the next call
    });
    deadlines.add(clock.now() + 3'600'000'000, [&] { order += "never"; });
    deadlines.run_due();
    ASSERT_TRUE(order == "ab");
    deadlines.run_due();
    ASSERT_TRUE(order == "abc" && deadlines.size() == 1);
}

// A session whose time-out was over kept setting it again, which delayed all later deadlines of the program.
TEST(Deadlines, ADeadlineSetForThePastDoesNotDelayOthersThatAreDue) {
    const Clock clock;
    Deadlines deadlines(clock);
    const Time past = clock.now() - 1000;
    int repetitions = 0;
    bool has_run = false;
    std::function<void()> repeat = [&] {
        ++repetitions;
        deadlines.add(past - 1, repeat);
    };
    deadlines.add(past - 1, repeat);
    deadlines.add(past, [&] { has_run = true; });
    deadlines.run_due();
    EXPECT_TRUE(has_run);
    EXPECT_EQ(repetitions, 1);
}

}  // namespace
