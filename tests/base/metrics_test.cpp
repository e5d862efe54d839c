// The counters, and the JSON that operators read.
#include "metrics/metrics.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "metrics/metric_names.h"

namespace {

using namespace sloestack;
using nlohmann::json;

TEST(Metrics, CountByRequestClassAndReason) {
    metrics::RequestMetrics n({"view", "change"});
    n.count_response(0, metrics::ResponseKind::served);
    n.count_response(1, metrics::ResponseKind::rejected);
    n.count_response(-1, metrics::ResponseKind::failed);
    n.count_attempt_sent(0), n.count_attempt_sent(0), n.count_attempt_sent(2);
    n.count_unserved(1, sloestack::decision::RejectionReason::no_primary),
        n.count_unserved(2, sloestack::decision::RejectionReason::slow_start);
    n.count_attempt_ended(0, sloestack::decision::Outcome::timeout),
        n.count_attempt_ended(0, sloestack::decision::Outcome::timeout);
    const auto read = json::parse(n.to_json({3, 2, 1}));
    ASSERT_TRUE(read["responses"]["view"]["ok"] == 1 && read["responses"]["view"]["errors"] == 0);
    ASSERT_TRUE(read["responses"]["change"]["shed"] == 1 && read["responses"]["change"]["tries"] == 0);
    ASSERT_TRUE(read["tries"] == 2 && read["active"] == 3 && read["pool_size"] == 2 &&
                read["pool_ejected"] == 1);
    ASSERT_TRUE(read["reasons"]["change"]["no_primary"] == 1 && read["reasons"]["view"]["no_primary"] == 0);
    ASSERT_TRUE(read["reasons"]["view"].size() == sloestack::decision::kRejectionReasonCount);
    ASSERT_TRUE(read["results"]["view"]["timeout"] == 2 && read["results"]["change"]["ok"] == 0);
    ASSERT_TRUE(read["results"]["view"].size() == sloestack::decision::kOutcomeCount);
    ASSERT_TRUE(n.total() == 7);
}

// Operators' tools read these names, whatever the enumerators are called.
TEST(Metrics, NamesInTheJsonStay) {
    const metrics::RequestMetrics counters({"view"});
    const auto read = json::parse(counters.to_json({}));
    const auto names = [](const json& object) {
        std::set<std::string> out;
        for (const auto& item : object.items()) out.insert(item.key());
        return out;
    };
    using Names = std::set<std::string>;
    EXPECT_EQ(names(read),
              (Names{"responses", "reasons", "results", "tries", "active", "pool_size", "pool_ejected"}));
    EXPECT_EQ(names(read["responses"]["view"]), (Names{"ok", "shed", "errors", "tries"}));
    EXPECT_EQ(names(read["results"]["view"]), (Names{"ok", "error", "full", "timeout", "connect_failed",
                                                     "reset", "cancelled", "moot", "miss"}));
    EXPECT_EQ(
        names(read["reasons"]["view"]),
        (Names{"unknown_class", "throttled", "not_admitted", "no_primary", "no_member", "avoided", "cold",
               "no_room", "not_new_enough", "out_of_time", "may_not_repeat", "retry_budget", "failing"}));
}

TEST(Metrics, NamesThatDifferFromTheirEnumerators) {
    using decision::Outcome;
    using decision::RejectionReason;
    EXPECT_STREQ(metrics::metric_name(Outcome::overloaded), "full");
    EXPECT_STREQ(metrics::metric_name(Outcome::expired), "moot");
    EXPECT_STREQ(metrics::metric_name(Outcome::not_eligible), "miss");
    EXPECT_STREQ(metrics::metric_name(RejectionReason::write_throttled), "throttled");
    EXPECT_STREQ(metrics::metric_name(RejectionReason::read_not_admitted), "not_admitted");
    EXPECT_STREQ(metrics::metric_name(RejectionReason::no_eligible_endpoint), "no_member");
    EXPECT_STREQ(metrics::metric_name(RejectionReason::ejected), "avoided");
    EXPECT_STREQ(metrics::metric_name(RejectionReason::slow_start), "cold");
    EXPECT_STREQ(metrics::metric_name(RejectionReason::at_capacity), "no_room");
    EXPECT_STREQ(metrics::metric_name(RejectionReason::too_stale), "not_new_enough");
    EXPECT_STREQ(metrics::metric_name(RejectionReason::deadline_exceeded), "out_of_time");
    EXPECT_STREQ(metrics::metric_name(RejectionReason::not_retryable), "may_not_repeat");
    EXPECT_STREQ(metrics::metric_name(RejectionReason::retry_budget_exhausted), "retry_budget");
    EXPECT_STREQ(metrics::metric_name(RejectionReason::repeated_error), "failing");
}

}  // namespace
