// Endpoint lists as discovery sends them.
#include <gtest/gtest.h>

#include <cstdint>
#include <stdexcept>
#include <string>

#include "discovery/list.h"

namespace {

using namespace sloestack;

TEST(DiscoveryList, IsReadIntoEndpoints) {
    discovery::Reader reader({"a", "b"});
    const auto list = reader.read(std::string(
        R"({"revision":41,"complete":true,"members":[{"id":"s-5be2a07c","host_port":"10.1.0.18:5433",
        "locality":"b","flavor":"m2","cell":3,"phase":"terminating","size":1.0,"up_since_ms":12,
        "role":"primary"}]})"));
    ASSERT_TRUE(list.revision == 41 && list.complete && list.members.size() == 1);
    const auto& s = list.members[0].endpoint;
    ASSERT_TRUE(s.endpoint == 0x5be2a07c && s.zone == 1 && s.replica_group == 3 && s.started_at == 12'000 &&
                s.listed_primary);
    ASSERT_TRUE(s.state == sloestack::decision::EndpointState::draining &&
                list.members[0].address == "10.1.0.18:5433");
}

TEST(DiscoveryList, RejectsMalformedLists) {
    discovery::Reader reader({"a", "b"});
    for (const char* bad : {"", "{}", "[]", R"({"revision":1,"complete":true,"members":[{}]})",
                            R"({"revision":1,"complete":true,"members":[{"id":"x","phase":"odd"}]})",
                            R"({"revision":1,"complete":true,"members":[{"id":7,"phase":"gone"}]})"})
        ASSERT_THROW(static_cast<void>(reader.read(std::string(bad))), std::runtime_error);
}

TEST(EndpointNumbers, AreBoundedAndKeptWhileListed) {
    discovery::Numbers numbers;
    // Guards against growth where members are replaced for good, and against forgetting one that is
    // listed.
    ASSERT_TRUE(numbers.of("kept-00000009") == 9);
    for (std::uint32_t i = 0; i < 3000; ++i) {
        const auto name = "gone-" + std::to_string(10'000'000 + i);
        numbers.of(name);
        numbers.gone(name);
    }
    ASSERT_TRUE(numbers.size() == discovery::Numbers::kMostGone + 1 && numbers.of("kept-00000009") == 9);
    ASSERT_TRUE(numbers.of("a-00000001") == 1 && numbers.of("b-00000001") == 2 &&
                numbers.of("a-00000001") == 1);
}

}  // namespace
