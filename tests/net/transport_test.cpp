// Budgets of the transport: memory, connections and bytes in flight.
#include <gtest/gtest.h>

#include <utility>

#include "transport/byte_account.h"
#include "transport/descriptor_quota.h"
#include "transport/memory_budget.h"

namespace {

using namespace sloestack;

// One total, first come first served: guards the memory, and keeps a large statement from waiting for ever
// behind smaller ones that fit in between.
TEST(MemoryBudget, IsGrantedInOrderOfArrival) {
    net::MemoryBudget budget(100);
    int a = 0, b = 0, c = 0;
    auto first = budget.reserve(80, &a);
    ASSERT_TRUE(first && budget.reserved() == 80);
    ASSERT_TRUE(!budget.reserve(50, &b) && !budget.reserve(10, &c));
    first.reset();
    ASSERT_TRUE(!budget.reserve(10, &c));
    auto second = budget.reserve(50, &b);
    ASSERT_TRUE(second && budget.reserve(10, &c));
    ASSERT_TRUE(!budget.reserve(200, &a));
    second.reset();
    ASSERT_TRUE(budget.reserve(200, &a));  // alone, even what exceeds the total
    // Who leaves the queue lets the next one in.
    first = budget.reserve(100, &a);
    ASSERT_TRUE(first && !budget.reserve(90, &b) && !budget.reserve(1, &c));
    first.reset();
    budget.stop_waiting(&b);
    ASSERT_TRUE(budget.reserve(1, &c));
}

TEST(ConnectionQuota, GivesBackASlotWithItsOwner) {
    net::DescriptorQuota two(2);
    auto a = two.acquire();
    auto b = two.acquire();
    ASSERT_TRUE(a && b && two.is_full() && !two.acquire());
    b = net::DescriptorSlot();
    ASSERT_TRUE(two.in_use() == 1);
    { const auto c = std::move(a); }
    ASSERT_TRUE(two.in_use() == 0 && !a);
}

TEST(ByteAccount, IsOverOnlyBeyondItsLimit) {
    net::ByteAccount account(10);
    account.add(11);
    ASSERT_TRUE(account.is_exceeded());
    account.remove(1);
    ASSERT_TRUE(!account.is_exceeded() && account.total_bytes() == 10);
}

TEST(DescriptorShares, LeaveRoomForTheProcessItself) {
    constexpr auto all = net::divide_descriptors(1024);
    static_assert(all.clients + all.overflow + all.upstream < 1024 - 16, "room for the process's own");
}

}  // namespace
