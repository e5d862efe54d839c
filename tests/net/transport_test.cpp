// Tests of the memory budget, the descriptor quota and the byte account.
#include <gtest/gtest.h>

#include <memory>
#include <utility>
#include <vector>

#include "transport/byte_account.h"
#include "transport/descriptor_quota.h"
#include "transport/memory_budget.h"

namespace {

using namespace sloestack;

// Guards against reservations beyond the limit, and against a large reservation that waits forever because
// smaller ones that fit are granted before it.
TEST(MemoryBudget, GrantsReservationsInOrderOfFirstRequest) {
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
    ASSERT_TRUE(budget.reserve(200, &a));  // beyond the limit, but nothing else is reserved
    // A requester that stops waiting no longer blocks the next one in the queue.
    first = budget.reserve(100, &a);
    ASSERT_TRUE(first && !budget.reserve(90, &b) && !budget.reserve(1, &c));
    first.reset();
    budget.stop_waiting(&b);
    ASSERT_TRUE(budget.reserve(1, &c));
}

TEST(MemoryBudget, LargeReservationsKeepNoOrdinaryOneWaiting) {
    constexpr auto kLarge = net::MemoryBudget::kMaxOrdinaryBytes + 1;
    net::MemoryBudget budget(4 * kLarge);
    int a = 0, b = 0;
    std::vector<std::shared_ptr<void>> large;
    while (auto reservation = budget.reserve(kLarge, &a)) large.push_back(std::move(reservation));
    ASSERT_EQ(large.size(), 3u);
    auto ordinary = budget.reserve(kLarge - 1, &b);
    ASSERT_TRUE(ordinary && !budget.reserve(kLarge - 1, &b));
    large.clear();
    ASSERT_TRUE(!budget.reserve(9 * kLarge, &a));  // over twice the limit
    budget.stop_waiting(&a);
    large.push_back(budget.reserve(8 * kLarge, &a));
    ASSERT_TRUE(large.back());
    ordinary.reset();
    ASSERT_TRUE(budget.reserve(kLarge - 1, &b));
}

TEST(DescriptorQuota, ReleasesSlotWhenItIsDestroyed) {
    net::DescriptorQuota quota(2);
    auto a = quota.acquire();
    auto b = quota.acquire();
    ASSERT_TRUE(a && b && quota.is_full() && !quota.acquire());
    b = net::DescriptorSlot();
    ASSERT_TRUE(quota.in_use() == 1);
    { const auto c = std::move(a); }
    ASSERT_TRUE(quota.in_use() == 0 && !a);
}

TEST(ByteAccount, IsExceededOnlyBeyondItsLimit) {
    net::ByteAccount account(10);
    account.add(11);
    ASSERT_TRUE(account.is_exceeded());
    account.remove(1);
    ASSERT_TRUE(!account.is_exceeded() && account.total_bytes() == 10);
}

TEST(DescriptorShares, LeaveDescriptorsForTheProcessItself) {
    constexpr auto shares = net::divide_descriptors(1024);
    static_assert(shares.clients + shares.overflow + shares.upstream < 1024 - 16,
                  "16 descriptors are left for the process itself");
}

}  // namespace
