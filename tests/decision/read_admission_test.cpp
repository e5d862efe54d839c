// Tests of ReadAdmission with a whole router.
#include <gtest/gtest.h>

#include <cstdint>
#include <iterator>
#include <map>
#include <utility>

#include "router_fixture.h"

namespace sloestack::decision::test {
namespace {

// Guards against full queues that serve only late responses: a response after the latency objective is
// not goodput (incident ifffa58).
TEST(ReadAdmission, AdmitsByTheShareServedInTime) {
    const auto rejected = [](Micros latency) {
        RouterFixture fixture(default_settings(), 2);
        fixture.establish_primary(1, 2);
        int count = 0;
        std::map<RequestId, std::pair<Time, EndpointId>> in_flight;
        for (RequestId id = 1; id <= 800; ++id) {
            for (auto it = in_flight.begin(); it != in_flight.end();) {
                const bool due = it->second.first + latency <= fixture.now;
                if (due) fixture.attempt_succeeded(it->first, it->second.second, Role::unknown, 0);
                it = due ? in_flight.erase(it) : std::next(it);
            }
            fixture.arrive(id, kAnyRead);
            fixture.fire_timer(10'000);
            if (const auto to = fixture.forwarded_to(id)) in_flight[id] = {fixture.now, *to};
            count += id > 400 && fixture.find<Reject>(id);
        }
        return count;
    };
    EXPECT_EQ(rejected(30'000), 0);
    EXPECT_GT(rejected(300'000), 150);
}

// If a router sends few reads to a replica group, one late read may be chance; many are evidence.
TEST(ReadAdmission, RejectsFewReadsAfterASingleLateOne) {
    const auto rejected_after = [](int late_reads) {
        int rejected = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            RouterFixture fixture(fleet_settings(100), 5, seed);
            fixture.establish_primary(1, 5);
            for (RequestId id = 1; id <= static_cast<RequestId>(late_reads); ++id) {
                fixture.arrive(id, kAnyRead);
                fixture.step();
                const auto to = fixture.forwarded_to(id);
                fixture.now += 250'000;
                if (to) fixture.attempt_succeeded(id, *to, Role::replica, fixture.now);
                fixture.step();
            }
            fixture.arrive(1000, kAnyRead);
            fixture.step();
            rejected += fixture.find<Reject>(1000) != nullptr;
        }
        return rejected;
    };
    EXPECT_LT(rejected_after(1), 25);
    EXPECT_GT(rejected_after(12), 25);
}

}  // namespace
}  // namespace sloestack::decision::test
