// The counters of broken invariants.
#include "invariant/invariant.h"

#include <gtest/gtest.h>

namespace {

using namespace sloestack;

TEST(InvariantCounter, CountsOnlyFailedChecks) {
    static invariant::Counter counter("test");  // static because the list of counters keeps a pointer to it
    ASSERT_TRUE(counter.holds(true) && counter.broken() == 0);
    ASSERT_TRUE(!counter.holds(false) && counter.broken() == 1);
}

}  // namespace
