// Pipelining: several requests of one client at a time.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "proxy_harness.h"

namespace {

using namespace integration;

// A deadline counts from the arrival of the request's last byte, not from the response before it.
TEST(Pipeline, DeadlineCountsFromTheArrivalOfTheRequest) {
    ProxyHarness proxy;
    proxy.establish_long_poll();
    proxy.connect();
    const auto second = proxy.make_request("keyed_write"), first = proxy.make_request("keyed_write");
    proxy.client.send(first + second.substr(0, 20));
    proxy.run_until([&] { return proxy.queries.size() == 1; });
    proxy.clock.advance(300'000);
    proxy.client.send(second.substr(20));  // complete only now
    proxy.run();
    proxy.clock.advance(200'000);
    proxy.client.send(proxy.make_request("keyed_write", 400'000));
    proxy.run();
    proxy.clock.advance(500'000);
    proxy.run();
    proxy.respond_to_all();
    proxy.run_until([&] { return proxy.queries.size() == 2; });
    EXPECT_EQ(proxy.queries.back().time_left, kRequestDeadline - 700'000)
        << "the time left must exclude the time that the request waited";
    proxy.respond_to_all();
    proxy.run_until([&] { return proxy.response_count() == 3; });
    EXPECT_NE(proxy.client.received.find("53300"), std::string::npos)
        << "the third request has no time left, so it is rejected";
    EXPECT_EQ(proxy.queries.size(), 2u) << "the third request must not be forwarded";
    EXPECT_FALSE(proxy.client.ended);
}

// Reads of one client run in parallel. A write waits for all requests before it, and the requests after it
// wait for the write.
TEST(Pipeline, RunsReadsInParallelAndRespondsInOrder) {
    for (const auto* write_class : {"keyed_write", "plain_write"}) {
        ProxyHarness proxy;
        proxy.establish_long_poll();
        proxy.connect();
        for (const auto* request_class : {"read", "read", write_class, "read"})
            proxy.send_request(request_class);
        const auto forwarded_ids = [&] {
            std::set<std::string> out;
            for (const auto& query : proxy.queries) out.insert(query.id);
            return out;
        };
        proxy.run_until([&] { return proxy.queries.size() >= 2; });
        proxy.run();
        EXPECT_EQ(forwarded_ids(), (std::set<std::string>{"r1", "r2"}));
        proxy.respond_to("r2");
        proxy.run();
        EXPECT_EQ(proxy.response_count(), 0) << "the second response must wait for the first";
        EXPECT_EQ(proxy.queries.size(), 2u);
        proxy.respond_to("r1");
        proxy.run_until([&] { return proxy.response_count() == 2 && proxy.queries.size() >= 3; });
        proxy.run();
        EXPECT_LT(proxy.client.received.find("r1!"), proxy.client.received.find("r2!"));
        EXPECT_EQ(forwarded_ids(), (std::set<std::string>{"r1", "r2", "r3"}));
        proxy.respond_to("r3");
        proxy.run_until([&] { return proxy.queries.size() == 4; });
        proxy.respond_to("r4");
        proxy.run_until([&] { return proxy.response_count() == 4; });
    }
}

// At most 8 reads of a client are in flight at a time, and none is forwarded after the client has
// disconnected.
TEST(Pipeline, LimitsParallelReadsAndStopsWhenTheClientDisconnects) {
    ProxyHarness proxy;
    proxy.establish_long_poll();
    proxy.connect();
    std::string requests;
    for (int i = 0; i < 20; ++i) requests += proxy.make_request("read");
    proxy.client.send(requests);
    proxy.run_until([&] { return proxy.queries.size() == 8; });
    proxy.run();
    EXPECT_EQ(proxy.queries.size(), 8u);
    proxy.respond_to("r1");
    proxy.run_until([&] { return proxy.queries.size() == 9; });
    proxy.client.reset();
    proxy.run();
    proxy.respond_to_all();
    proxy.run_for(kRequestDeadline);
    EXPECT_EQ(proxy.queries.size(), 9u);
}

// The deadline of the second request passes while it is in flight: the client gets its response at that time.
TEST(Pipeline, FailsARequestAtItsOwnDeadline) {
    ProxyHarness proxy;
    proxy.establish_long_poll();
    proxy.connect();
    proxy.send_request("keyed_write");
    proxy.send_request("read");
    proxy.run_until([&] { return proxy.queries.size() == 1; });
    proxy.clock.advance(1'500'000);
    proxy.run();
    proxy.respond_to_all();
    proxy.run_until([&] { return proxy.queries.size() == 2; });
    proxy.clock.advance(510'000);
    proxy.run_until([&] { return proxy.response_count() == 2; });
}

}  // namespace
