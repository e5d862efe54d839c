// The metrics counters, and the JSON that operators read.
#include "metrics/metrics.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "metrics/metric_names.h"

namespace {

using namespace sloestack;
using nlohmann::json;

TEST(RequestMetrics, CountsByRequestClassAndReason) {
    metrics::RequestMetrics counters({"view", "change"});
    counters.count_response(0, metrics::ResponseKind::served);
    counters.count_response(1, metrics::ResponseKind::rejected);
    counters.count_response(-1, metrics::ResponseKind::failed);
    counters.count_attempt_sent(0), counters.count_attempt_sent(0), counters.count_attempt_sent(2);
    counters.count_unserved(1, sloestack::decision::RejectionReason::no_primary),
        counters.count_unserved(2, sloestack::decision::RejectionReason::slow_start);
    counters.count_attempt_ended(0, sloestack::decision::Outcome::timeout),
        counters.count_attempt_ended(0, sloestack::decision::Outcome::timeout);
    const auto metrics_json = json::parse(counters.to_json({3, 2, 1}));
    ASSERT_TRUE(metrics_json["responses"]["view"]["ok"] == 1 &&
                metrics_json["responses"]["view"]["errors"] == 0);
    ASSERT_TRUE(metrics_json["responses"]["change"]["shed"] == 1 &&
                metrics_json["responses"]["change"]["tries"] == 0);
    ASSERT_TRUE(metrics_json["tries"] == 2 && metrics_json["active"] == 3 && metrics_json["pool_size"] == 2 &&
                metrics_json["pool_ejected"] == 1);
    ASSERT_TRUE(metrics_json["reasons"]["change"]["no_primary"] == 1 &&
                metrics_json["reasons"]["view"]["no_primary"] == 0);
    ASSERT_TRUE(metrics_json["reasons"]["view"].size() == sloestack::decision::kRejectionReasonCount);
    ASSERT_TRUE(metrics_json["results"]["view"]["timeout"] == 2 &&
                metrics_json["results"]["change"]["ok"] == 0);
    ASSERT_TRUE(metrics_json["results"]["view"].size() == sloestack::decision::kOutcomeCount);
    ASSERT_TRUE(counters.total() == 7);
}

// Operators' tools depend on these names: renaming an enumerator must not change them.
TEST(RequestMetrics, JsonHasExactlyTheDocumentedNames) {
    const metrics::RequestMetrics counters({"view"});
    const auto metrics_json = json::parse(counters.to_json({}));
    const auto names = [](const json& object) {
        std::set<std::string> out;
        for (const auto& item : object.items()) out.insert(item.key());
        return out;
    };
    using Names = std::set<std::string>;
    EXPECT_EQ(names(metrics_json),
              (Names{"responses", "reasons", "results", "tries", "active", "pool_size", "pool_ejected"}));
    EXPECT_EQ(names(metrics_json["responses"]["view"]), (Names{"ok", "shed", "errors", "tries"}));
    EXPECT_EQ(
        names(metrics_json["results"]["view"]),
        (Names{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"}));
    EXPECT_EQ(
        names(metrics_json["reasons"]["view"]),
        (Names{"unknown_class", "throttled", "not_admitted", "no_primary", "no_member", "avoided", "cold",
               "no_room", "not_new_enough", "out_of_time", "may_not_repeat", "retry_budget", "failing"}));
}

TEST(MetricName, KeepsTheDocumentedNamesOfRenamedEnumerators) {
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
