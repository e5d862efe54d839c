// Two deployments side by side, with request classes of their own.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "proxy_harness.h"

namespace {

using namespace integration;

// A class that only the other deployment has is an error and is never forwarded.
TEST(RequestClasses, OfAnotherDeploymentAreUnknownHere) {
    const std::vector<RequestClass> others = {
        {"another_write", "non_idempotent"}, {"read", "idempotency_key"}, {"another_read", "read_like"}};
    ProxyHarness ours;
    ProxyHarness theirs(make_settings(others));
    for (auto* proxy : {&ours, &theirs}) {
        proxy->establish_long_poll();
        proxy->connect();
    }
    ours.send_request("another_write");
    theirs.send_request("keyed_write");
    for (auto* proxy : {&ours, &theirs}) {
        proxy->run_until([&] { return proxy->answer_count() == 1; });
        EXPECT_NE(proxy->client.received.find("22023"), std::string::npos);
        EXPECT_TRUE(proxy->queries.empty());
    }
    // A class name that both have stands for another effect in each, at another place in the list.
    for (auto* proxy : {&ours, &theirs}) {
        proxy->send_request("read");
        proxy->run_until([&] { return !proxy->queries.empty(); });
        proxy->reset_members();
        proxy->run_for(kIdempotencyWindow / 2);
    }
    EXPECT_EQ(ours.queries.size(), 2u) << "a read is retried";
    EXPECT_EQ(theirs.queries.size(), 2u) << "and so is a keyed write within its window";
    for (auto* proxy : {&ours, &theirs}) proxy->run_for(kRequestDeadline);
    theirs.send_request("another_write");
    theirs.run_until([&] { return theirs.queries.size() == 3; });
    theirs.reset_members();
    theirs.run_for(kRequestDeadline);
    EXPECT_EQ(theirs.queries.size(), 3u) << "a write that is not idempotent is not";
}

}  // namespace
