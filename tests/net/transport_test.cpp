// Budgets of the transport: memory, connections and bytes in flight.
#include <gtest/gtest.h>

#include <utility>

#include "transport/byte_account.h"
#include "transport/quota.h"

namespace {

using namespace sloestack;

// One total, first come first served: guards the memory, and keeps a large statement from waiting for ever
// behind smaller ones that fit in between.
TEST(MemoryBudget, IsGrantedInOrderOfArrival) {
    net::Room room(100);
    int a = 0, b = 0, c = 0;
    auto first = room.take(80, &a);
    ASSERT_TRUE(first && room.taken() == 80);
    ASSERT_TRUE(!room.take(50, &b) && !room.take(10, &c));
    first.reset();
    ASSERT_TRUE(!room.take(10, &c));
    auto second = room.take(50, &b);
    ASSERT_TRUE(second && room.take(10, &c));
    ASSERT_TRUE(!room.take(200, &a));
    second.reset();
    ASSERT_TRUE(room.take(200, &a));  // alone, even what exceeds the total
    // Who leaves the queue lets the next one in.
    first = room.take(100, &a);
    ASSERT_TRUE(first && !room.take(90, &b) && !room.take(1, &c));
    first.reset();
    room.leave(&b);
    ASSERT_TRUE(room.take(1, &c));
}

TEST(ConnectionQuota, GivesBackASlotWithItsOwner) {
    net::Quota two(2);
    auto a = two.take();
    auto b = two.take();
    ASSERT_TRUE(a && b && two.full() && !two.take());
    b = net::Slot();
    ASSERT_TRUE(two.taken() == 1);
    { const auto c = std::move(a); }
    ASSERT_TRUE(two.taken() == 0 && !a);
}

TEST(ByteAccount, IsOverOnlyBeyondItsLimit) {
    net::ByteAccount account(10);
    account.add(11);
    ASSERT_TRUE(account.over());
    account.remove(1);
    ASSERT_TRUE(!account.over() && account.held() == 10);
}

TEST(DescriptorShares, LeaveRoomForTheProcessItself) {
    constexpr auto all = net::share(1024);
    static_assert(all.clients + all.overflow + all.members < 1024 - 16, "room for the process's own");
}

}  // namespace
