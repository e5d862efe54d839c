// The ids of requests that may be executing.
#include "sessions/request_ids.h"

#include <gtest/gtest.h>

#include <string>

namespace {

using sloestack::downstream::hash_name;
using sloestack::downstream::RequestIds;

TEST(RequestIds, KeepAnIdWhileItsRequestIsOpenOrMayBeRunning) {
    RequestIds ids;
    EXPECT_TRUE(ids.open("a", 0));
    EXPECT_FALSE(ids.open("a", 2 * RequestIds::kRetentionUs));
    ids.retain("a", 2 * RequestIds::kRetentionUs);
    EXPECT_FALSE(ids.open("a", 3 * RequestIds::kRetentionUs - 1));
    EXPECT_TRUE(ids.open("a", 3 * RequestIds::kRetentionUs));
    ids.close("a");
    EXPECT_TRUE(ids.open("a", 3 * RequestIds::kRetentionUs));
}

TEST(RequestIds, AReportOfAnotherProcessDoesNotEndAnOpenRequest) {
    RequestIds ids;
    EXPECT_TRUE(ids.open("a", 0));
    ids.retain_hash(hash_name("a"), 0);
    EXPECT_FALSE(ids.open("a", RequestIds::kRetentionUs));
    ids.retain_hash(hash_name("b"), 0);
    EXPECT_FALSE(ids.open("b", 0));
}

TEST(RequestIds, AreBounded) {
    RequestIds ids;
    for (std::size_t i = 0; i < 2 * RequestIds::kMaxRetained; ++i) ids.retain(std::to_string(i), 0);
    EXPECT_LE(ids.size(), RequestIds::kMaxRetained + 1);
}

}  // namespace
