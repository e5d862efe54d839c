// Comparison of the reports of two builds.
#include "fault_harness/compare.h"

#include <gtest/gtest.h>

namespace {

using namespace fault_harness;

TEST(Interval, UsesStudentsDistribution) {
    const auto i = interval({1, 2, 3, 4, 5});
    EXPECT_DOUBLE_EQ(i.mean, 3);
    EXPECT_NEAR(i.half_width, 2.776 * 0.70711,
                1e-3);  // t for four degrees of freedom times the standard error
    EXPECT_EQ(interval({7}).half_width, 0);
    EXPECT_EQ(interval({}).count, 0u);
}

Sample make_sample(const std::string& build, std::uint64_t seed, double links) {
    Sample s;
    s.build = build;
    s.scenario = "x";
    s.proxies = 3;
    s.seed = seed;
    s.figures = {{"return", {{"links", {{"highest", links}}}, {"full_after_s", nullptr}}}};
    return s;
}

TEST(Compare, ComparesBuildsOnTheSeedsThatBothHave) {
    const auto rows = compare({make_sample("a", 1, 10), make_sample("a", 2, 30), make_sample("b", 1, 8),
                               make_sample("b", 2, 27), make_sample("b", 3, 1000)},
                              {"a", "b"});
    bool found = false;
    for (const auto& row : rows) {
        if (row.figure == "full service after, s") {
            EXPECT_EQ(row.builds[0].count, 0u);
        }
        if (row.figure != "links at most") continue;
        found = true;
        EXPECT_DOUBLE_EQ(row.builds[0].mean, 20);
        EXPECT_EQ(row.builds[1].count, 3u);
        EXPECT_EQ(row.change.count, 2u);
        EXPECT_DOUBLE_EQ(row.change.mean, -2.5);
    }
    EXPECT_TRUE(found);
}

}  // namespace
