// Scenario files and the plans derived from them.
#include "fault_harness/scenario.h"

#include <gtest/gtest.h>

#include <set>
#include <stdexcept>

namespace {

using namespace fault_harness;

std::string make_scenario(const std::string& faults, const std::string& more = "") {
    return R"({"version": 1, "proxies": 10, "zones": 2, "banks": 2, "members": 3, "length_s": 30, )" + more +
           "\"faults\": [" + faults + "]} // a comment";
}
std::vector<FaultStep> draw_steps(const std::string& fault, std::uint64_t seed = 1) {
    return draw(Scenario::read(make_scenario(fault)), seed).steps;
}
std::string read_error(const std::string& text) {
    try {
        Scenario::read(text);
    } catch (const std::invalid_argument& error) {
        return error.what();
    }
    return "";
}

TEST(Scenario, ReadsDefaultsAndAcceptsComments) {
    const auto s = Scenario::read(make_scenario(""));
    EXPECT_EQ(s.proxies, 10);
    EXPECT_EQ(s.fleet.banks, 2);
    EXPECT_EQ(s.length_us, 30'000'000);
    EXPECT_EQ(s.fleet.least_work, 42'000);
    EXPECT_EQ(draw(s, 1).first_fault_us(), 30'000'000);
    // A different number of proxies scales the number of replica groups in proportion.
    EXPECT_EQ(Scenario::read(make_scenario(""), 100).fleet.banks, 20);
    EXPECT_EQ(Scenario::read(make_scenario(""), 1).fleet.banks, 1);
}

TEST(Scenario, KillsATerminatingProxyAtTheEarliestAllowedTime) {
    EXPECT_EQ(Scenario::read(make_scenario("")).kill_timeout_us(), 3'700'000);  // the longest deadline is 5 s
    EXPECT_EQ(Scenario::read(make_scenario("", R"("deadline_ratio": 0.1, )")).kill_timeout_us(), 1'200'000);
}

TEST(Scenario, NamesTheInvalidPart) {
    EXPECT_NE(read_error("{").find("not valid JSON"), std::string::npos);
    EXPECT_NE(read_error(R"({"version": 1})").find("Missing required property"), std::string::npos);
    EXPECT_NE(read_error(make_scenario("", R"("cores": 3, )")).find("cores"), std::string::npos);
    EXPECT_NE(read_error(make_scenario(R"({"at_s": 1, "do": "explode"})")), "");
    EXPECT_NE(read_error(make_scenario(R"({"do": "kill"})")).find("at_s"), std::string::npos);
    EXPECT_NE(read_error(make_scenario(R"({"at_s": 1, "do": "kill", "share": 1.5})")), "");
    EXPECT_NE(
        read_error(make_scenario(R"({"at_s": 1, "do": "kill", "proxies": [10]})")).find("proxies names 10"),
        std::string::npos);
    EXPECT_NE(read_error(make_scenario(R"({"at_s": 29.5, "for_s": 1, "do": "kill"})")).find("after length_s"),
              std::string::npos);
    EXPECT_NE(read_error(make_scenario("", R"("member": {"least_work_ms": 9, "most_work_ms": 8}, )"))
                  .find("most_work_ms"),
              std::string::npos);
}

TEST(Plan, IsDeterminedByTheSeed) {
    const auto* fault = R"({"at_s": 1, "for_s": 1, "spread_s": 2, "do": "kill", "share": 0.7})";
    const auto a = draw_steps(fault, 5), b = draw_steps(fault, 5), c = draw_steps(fault, 6);
    ASSERT_EQ(a.size(), 7u);
    bool differs = false;
    for (std::size_t i = 0; i < a.size(); ++i) {
        EXPECT_EQ(a[i].proxies, b[i].proxies);
        EXPECT_EQ(a[i].end_us, b[i].end_us);
        EXPECT_GE(a[i].end_us, 2'000'000);
        EXPECT_LE(a[i].end_us, 4'000'000);
        differs = differs || a[i].proxies != c[i].proxies || a[i].end_us != c[i].end_us;
    }
    EXPECT_TRUE(differs);
}

TEST(Plan, SelectsTargetsByShareZoneAndList) {
    const auto by_zone = draw_steps(R"({"at_s": 1, "do": "stop", "zone": 1})");
    EXPECT_EQ(by_zone.at(0).proxies, (std::vector<int>{1, 3, 5, 7, 9}));
    EXPECT_EQ(draw_steps(R"({"at_s": 1, "do": "stop", "zone": 1, "share": 0.01})").at(0).proxies.size(), 1u);
    EXPECT_EQ(draw_steps(R"({"at_s": 1, "do": "term", "proxies": [4, 2]})").at(0).proxies,
              (std::vector<int>{2, 4}));
    const auto primaries = draw_steps(R"({"at_s": 1, "do": "member_crash", "primaries": true})");
    EXPECT_EQ(primaries.at(0).members, (std::vector<int>{0, 3}));
    const auto cut = draw_steps(
        R"({"at_s": 1, "do": "cut", "edge": "members", "way": "in", "share": 0.5, "member_zone": 0})");
    EXPECT_EQ(cut.at(0).proxies.size(), 5u);
    EXPECT_EQ(cut.at(0).members, (std::vector<int>{0, 2, 4}));
    EXPECT_TRUE(cut.at(0).condition.cut && cut.at(0).in && !cut.at(0).out);
    EXPECT_TRUE(draw_steps(R"({"at_s": 1, "do": "cut", "edge": "discovery"})").at(0).members.empty());
}

TEST(Plan, WavesAffectEachProxyOnceAndTimesRepeatsTheFault) {
    const auto waves = draw_steps(R"({"at_s": 1, "do": "term", "waves": 4, "every_s": 2})");
    ASSERT_EQ(waves.size(), 4u);
    std::multiset<int> affected;
    for (std::size_t i = 0; i < waves.size(); ++i) {
        EXPECT_EQ(waves[i].at_us, 1'000'000 + static_cast<Micros>(i) * 2'000'000);
        affected.insert(waves[i].proxies.begin(), waves[i].proxies.end());
    }
    EXPECT_EQ(affected, (std::multiset<int>{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}));
    const auto times = draw_steps(R"({"at_s": 1, "for_s": 0.5, "do": "kill", "proxies": [3], "times": 3})");
    ASSERT_EQ(times.size(), 3u);
    EXPECT_EQ(times[2].at_us, 3'000'000);
    EXPECT_EQ(times[2].proxies, std::vector<int>{3});
}

TEST(Addresses, AreDistinctLoopbackAddresses) {
    std::set<std::string> hosts;
    for (int p = 0; p < 1000; ++p) hosts.insert(host_of(64, p));
    EXPECT_EQ(hosts.size(), 1000u);
    for (const auto& h : hosts) EXPECT_EQ(h.rfind("127.64.", 0), 0u);
}

}  // namespace
