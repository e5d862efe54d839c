// The counters, and the JSON that operators read.
#include "metrics/metrics.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace {

using namespace sloestack;
using nlohmann::json;

TEST(Metrics, CountByRequestClassAndReason) {
    metrics::Numbers n({"view", "change"});
    n.answered(0, metrics::Numbers::ok);
    n.answered(1, metrics::Numbers::shed);
    n.answered(-1, metrics::Numbers::errors);
    n.tried(0), n.tried(0), n.tried(2);
    n.given_up(1, sloestack::decision::RejectionReason::no_primary),
        n.given_up(2, sloestack::decision::RejectionReason::slow_start);
    n.ended(0, sloestack::decision::Outcome::timeout), n.ended(0, sloestack::decision::Outcome::timeout);
    const auto read = json::parse(n.json({3, 2, 1}));
    ASSERT_TRUE(read["responses"]["view"]["ok"] == 1 && read["responses"]["view"]["errors"] == 0);
    ASSERT_TRUE(read["responses"]["change"]["shed"] == 1 && read["responses"]["change"]["tries"] == 0);
    ASSERT_TRUE(read["tries"] == 2 && read["active"] == 3 && read["pool_size"] == 2 &&
                read["pool_ejected"] == 1);
    ASSERT_TRUE(read["reasons"]["change"]["no_primary"] == 1 && read["reasons"]["view"]["no_primary"] == 0);
    ASSERT_TRUE(read["reasons"]["view"].size() == sloestack::decision::kRejectionReasonCount);
    ASSERT_TRUE(read["results"]["view"]["timeout"] == 2 && read["results"]["change"]["ok"] == 0);
    ASSERT_TRUE(read["results"]["view"].size() == sloestack::decision::kOutcomeCount);
    ASSERT_TRUE(n.counted() == 7);
}

}  // namespace
