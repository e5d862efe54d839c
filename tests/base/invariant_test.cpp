// Counters of broken invariants.
#include "invariant/invariant.h"

#include <gtest/gtest.h>

namespace {

using namespace sloestack;

TEST(Invariant, CountsOnlyWhatDoesNotHold) {
    static invariant::Counter counter("test");  // counters stay: they are linked for the report
    ASSERT_TRUE(counter.holds(true) && counter.broken() == 0);
    ASSERT_TRUE(!counter.holds(false) && counter.broken() == 1);
}

}  // namespace
