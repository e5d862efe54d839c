// The counters, and the JSON that operators read.
#include "metrics/metrics.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

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

}  // namespace
