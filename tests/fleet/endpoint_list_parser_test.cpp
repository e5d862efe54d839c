// Parsing of discovery's endpoint lists, and the ids that endpoints get.
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

TEST(EndpointListParser, ReadsAllFieldsOfAnEntry) {
    discovery::EndpointListParser parser({"a", "b"});
    const auto list = parser.parse(std::string(
        R"({"revision":41,"complete":true,"members":[{"id":"s-5be2a07c","host_port":"10.1.0.18:5433",
        "locality":"b","flavor":"m2","cell":3,"phase":"terminating","size":1.0,"up_since_ms":12,
        "role":"primary"}]})"));
    ASSERT_TRUE(list.revision == 41 && list.complete && list.endpoints.size() == 1);
    const auto& endpoint = list.endpoints[0].endpoint;
    ASSERT_TRUE(endpoint.endpoint == 0x5be2a07c && endpoint.zone == 1 && endpoint.replica_group == 3 &&
                endpoint.started_at == 12'000 && endpoint.listed_primary);
    ASSERT_TRUE(endpoint.state == sloestack::decision::EndpointState::draining &&
                list.endpoints[0].address == "10.1.0.18:5433");
}

TEST(EndpointListParser, RejectsMalformedLists) {
    discovery::EndpointListParser parser({"a", "b"});
    for (const char* malformed : {"", "{}", "[]", R"({"revision":1,"complete":true,"members":[{}]})",
                                  R"({"revision":1,"complete":true,"members":[{"id":"x","phase":"odd"}]})",
                                  R"({"revision":1,"complete":true,"members":[{"id":7,"phase":"gone"}]})"})
        ASSERT_THROW(static_cast<void>(parser.parse(std::string(malformed))), std::runtime_error);
}

// The reason and the entry of an EndpointListError.
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

std::string list_with_second_entry(const std::string& entry) {
    return R"({"revision":5,"complete":false,"members":[{"id":"x","phase":"in_service"},)" + entry + "]}";
}

TEST(EndpointListParser, ErrorsNameTheEntryAndTheField) {
    const std::pair<const char*, const char*> cases[] = {
        {R"({"id":"y","phase":"odd"})", R"(discovery list, entry 1: phase "odd" is unknown)"},
        {R"({"phase":"in_service"})", R"(discovery list, entry 1: "id" is missing)"},
        {R"({"id":7,"phase":"in_service"})", R"(discovery list, entry 1: "id" is of the wrong type)"},
        {R"({"id":"y","phase":"in_service","cell":"3"})",
         R"(discovery list, entry 1: "cell" is of the wrong type)"},
        {R"("y")", "discovery list, entry 1: not a JSON object"}};
    for (const auto& [entry, reason] : cases) {
        const auto rejection = rejection_of(list_with_second_entry(entry));
        EXPECT_EQ(rejection.reason, reason);
        EXPECT_EQ(rejection.entry, 1u);
    }
}

TEST(EndpointListParser, ErrorsOfTheListAsAWholeNameNoEntry) {
    const std::pair<const char*, const char*> cases[] = {
        {"{", "discovery list: not valid JSON"},
        {"[]", "discovery list: not a JSON object"},
        {"{}", R"(discovery list: "revision" is missing)"},
        {R"({"revision":"5"})", R"(discovery list: "revision" is of the wrong type)"},
        {R"({"revision":4})", "discovery list: revision 4 is older than the current revision 5"}};
    for (const auto& [text, reason] : cases) {
        const auto rejection = rejection_of(text);
        EXPECT_EQ(rejection.reason, reason);
        EXPECT_FALSE(rejection.entry.has_value());
    }
}

// Guards against unbounded growth where endpoints are replaced under new names, and against dropping the id
// of a listed endpoint.
TEST(EndpointIdRegistry, BoundsRemovedNamesAndKeepsListedOnes) {
    discovery::EndpointIdRegistry registry;
    ASSERT_TRUE(registry.id_of("kept-00000009") == 9);
    for (std::uint32_t i = 0; i < 3000; ++i) {
        const auto name = "gone-" + std::to_string(10'000'000 + i);
        registry.id_of(name);
        registry.on_removed(name);
    }
    ASSERT_TRUE(registry.size() == discovery::EndpointIdRegistry::kMaxRetainedNames + 1 &&
                registry.id_of("kept-00000009") == 9);
    ASSERT_TRUE(registry.id_of("a-00000001") == 1 && registry.id_of("b-00000001") == 2 &&
                registry.id_of("a-00000001") == 1);
}

}  // namespace
