// Endpoint lists as discovery sends them.
#include "discovery/endpoint_list_parser.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace {

using namespace sloestack;

TEST(DiscoveryList, IsReadIntoEndpoints) {
    discovery::EndpointListParser parser({"a", "b"});
    const auto list = parser.parse(std::string(
        R"({"revision":41,"complete":true,"members":[{"id":"s-5be2a07c","host_port":"10.1.0.18:5433",
        "locality":"b","flavor":"m2","cell":3,"phase":"terminating","size":1.0,"up_since_ms":12,
        "role":"primary"}]})"));
    ASSERT_TRUE(list.revision == 41 && list.complete && list.endpoints.size() == 1);
    const auto& s = list.endpoints[0].endpoint;
    ASSERT_TRUE(s.endpoint == 0x5be2a07c && s.zone == 1 && s.replica_group == 3 && s.started_at == 12'000 &&
                s.listed_primary);
    ASSERT_TRUE(s.state == sloestack::decision::EndpointState::draining &&
                list.endpoints[0].address == "10.1.0.18:5433");
}

TEST(DiscoveryList, RejectsMalformedLists) {
    discovery::EndpointListParser parser({"a", "b"});
    for (const char* bad : {"", "{}", "[]", R"({"revision":1,"complete":true,"members":[{}]})",
                            R"({"revision":1,"complete":true,"members":[{"id":"x","phase":"odd"}]})",
                            R"({"revision":1,"complete":true,"members":[{"id":7,"phase":"gone"}]})"})
        ASSERT_THROW(static_cast<void>(parser.parse(std::string(bad))), std::runtime_error);
}

// The reason that parsing gives, and the entry it names.
struct Rejection {
    std::string reason;
    std::optional<std::size_t> entry;
};

Rejection rejection_of(const std::string& text) {
    discovery::EndpointListParser parser({"a", "b"});
    try {
        parser.parse(text, 5);
    } catch (const discovery::EndpointListError& error) {
        return {error.what(), error.entry()};
    }
    return {"accepted", std::nullopt};
}

std::string list_ending_in(const std::string& entry) {
    return R"({"revision":5,"complete":false,"members":[{"id":"x","phase":"in_service"},)" + entry + "]}";
}

TEST(DiscoveryList, ErrorsNameTheEntryAndTheField) {
    const std::pair<const char*, const char*> cases[] = {
        {R"({"id":"y","phase":"odd"})", R"(discovery list, entry 1: phase "odd" is unknown)"},
        {R"({"phase":"in_service"})", R"(discovery list, entry 1: "id" is missing)"},
        {R"({"id":7,"phase":"in_service"})", R"(discovery list, entry 1: "id" is of the wrong type)"},
        {R"({"id":"y","phase":"in_service","cell":"3"})",
         R"(discovery list, entry 1: "cell" is of the wrong type)"},
        {R"("y")", "discovery list, entry 1: not a JSON object"}};
    for (const auto& [entry, reason] : cases) {
        const auto rejection = rejection_of(list_ending_in(entry));
        EXPECT_EQ(rejection.reason, reason);
        EXPECT_EQ(rejection.entry, 1u);
    }
}

TEST(DiscoveryList, ErrorsOfTheWholeListNameNoEntry) {
    const std::pair<const char*, const char*> cases[] = {
        {"{", "the list is not JSON"},
        {"[]", "discovery list: not a JSON object"},
        {"{}", R"(discovery list: "revision" is missing)"},
        {R"({"revision":"5"})", R"(discovery list: "revision" is of the wrong type)"},
        {R"({"revision":4})", "a list of revision 4, older than 5"}};
    for (const auto& [text, reason] : cases) {
        const auto rejection = rejection_of(text);
        EXPECT_EQ(rejection.reason, reason);
        EXPECT_FALSE(rejection.entry.has_value());
    }
}

TEST(EndpointIdRegistry, AreBoundedAndKeptWhileListed) {
    discovery::EndpointIdRegistry numbers;
    // Guards against growth where members are replaced for good, and against forgetting one that is
    // listed.
    ASSERT_TRUE(numbers.id_of("kept-00000009") == 9);
    for (std::uint32_t i = 0; i < 3000; ++i) {
        const auto name = "gone-" + std::to_string(10'000'000 + i);
        numbers.id_of(name);
        numbers.on_removed(name);
    }
    ASSERT_TRUE(numbers.size() == discovery::EndpointIdRegistry::kMaxRetainedNames + 1 &&
                numbers.id_of("kept-00000009") == 9);
    ASSERT_TRUE(numbers.id_of("a-00000001") == 1 && numbers.id_of("b-00000001") == 2 &&
                numbers.id_of("a-00000001") == 1);
}

}  // namespace
