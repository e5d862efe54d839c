// Two deployments in one process, each with its own request classes.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "proxy_harness.h"

namespace {

using namespace integration;

// A request of a class that only the other deployment has is an error and is not forwarded.
TEST(RequestClasses, RejectsClassesOfAnotherDeployment) {
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
        proxy->run_until([&] { return proxy->response_count() == 1; });
        EXPECT_NE(proxy->client.received.find("22023"), std::string::npos);
        EXPECT_TRUE(proxy->queries.empty());
    }
    // Both have the class `read`, with different effects and at different positions in the list.
    for (auto* proxy : {&ours, &theirs}) {
        proxy->send_request("read");
        proxy->run_until([&] { return !proxy->queries.empty(); });
        proxy->reset_endpoints();
        proxy->run_for(kIdempotencyWindow / 2);
    }
    EXPECT_EQ(ours.queries.size(), 2u) << "a read must be retried";
    EXPECT_EQ(theirs.queries.size(), 2u) << "a keyed write must be retried within its window";
    for (auto* proxy : {&ours, &theirs}) proxy->run_for(kRequestDeadline);
    theirs.send_request("another_write");
    theirs.run_until([&] { return theirs.queries.size() == 3; });
    theirs.reset_endpoints();
    theirs.run_for(kRequestDeadline);
    EXPECT_EQ(theirs.queries.size(), 3u) << "a write that is not idempotent must not be retried";
}

}  // namespace
