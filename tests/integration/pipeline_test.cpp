// Several requests of one client at once.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "proxy_harness.h"

namespace {

using namespace integration;

// Each request's deadline counts from its own last byte, not from the answer before it.
TEST(Pipeline, ADeadlineCountsFromTheArrivalOfItsRequest) {
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
    proxy.answer_all();
    proxy.run_until([&] { return proxy.queries.size() == 2; });
    EXPECT_EQ(proxy.queries.back().time_left, kRequestDeadline - 700'000)
        << "what is left until the deadline";
    proxy.answer_all();
    proxy.run_until([&] { return proxy.answer_count() == 3; });
    EXPECT_NE(proxy.client.received.find("53300"), std::string::npos)
        << "no time was left for the third: rejected at once";
    EXPECT_EQ(proxy.queries.size(), 2u) << "and never forwarded";
    EXPECT_FALSE(proxy.client.ended);
}

// Reads of a connection overlap; a write waits for all requests before it, and all behind it wait for the
// write.
TEST(Pipeline, ReadsOverlapAndAreAnsweredInOrder) {
    for (const auto* other : {"keyed_write", "plain_write"}) {
        ProxyHarness proxy;
        proxy.establish_long_poll();
        proxy.connect();
        for (const auto* request_class : {"read", "read", other, "read"}) proxy.send_request(request_class);
        const auto asked = [&] {
            std::set<std::string> out;
            for (const auto& query : proxy.queries) out.insert(query.id);
            return out;
        };
        proxy.run_until([&] { return proxy.queries.size() >= 2; });
        proxy.run();
        EXPECT_EQ(asked(), (std::set<std::string>{"r1", "r2"}));
        proxy.answer("r2");
        proxy.run();
        EXPECT_EQ(proxy.answer_count(), 0) << "it waits for the first";
        EXPECT_EQ(proxy.queries.size(), 2u);
        proxy.answer("r1");
        proxy.run_until([&] { return proxy.answer_count() == 2 && proxy.queries.size() >= 3; });
        proxy.run();
        EXPECT_LT(proxy.client.received.find("r1!"), proxy.client.received.find("r2!"));
        EXPECT_EQ(asked(), (std::set<std::string>{"r1", "r2", "r3"}));
        proxy.answer("r3");
        proxy.run_until([&] { return proxy.queries.size() == 4; });
        proxy.answer("r4");
        proxy.run_until([&] { return proxy.answer_count() == 4; });
    }
}

// Only so many reads of a client are in flight at once, and none is forwarded after it has gone.
TEST(Pipeline, OverlappingReadsAreBoundedAndEndWithTheirClient) {
    ProxyHarness proxy;
    proxy.establish_long_poll();
    proxy.connect();
    std::string many;
    for (int i = 0; i < 20; ++i) many += proxy.make_request("read");
    proxy.client.send(many);
    proxy.run_until([&] { return proxy.queries.size() == 8; });
    proxy.run();
    EXPECT_EQ(proxy.queries.size(), 8u);
    proxy.answer("r1");
    proxy.run_until([&] { return proxy.queries.size() == 9; });
    proxy.client.reset();
    proxy.run();
    proxy.answer_all();
    proxy.run_for(kRequestDeadline);
    EXPECT_EQ(proxy.queries.size(), 9u);
}

// The deadline of the second request passes while it is in flight: it is answered then.
TEST(Pipeline, ARequestIsGivenUpAtItsOwnDeadline) {
    ProxyHarness proxy;
    proxy.establish_long_poll();
    proxy.connect();
    proxy.send_request("keyed_write");
    proxy.send_request("read");
    proxy.run_until([&] { return proxy.queries.size() == 1; });
    proxy.clock.advance(1'500'000);
    proxy.run();
    proxy.answer_all();
    proxy.run_until([&] { return proxy.queries.size() == 2; });
    proxy.clock.advance(510'000);
    proxy.run_until([&] { return proxy.answer_count() == 2; });
}

}  // namespace
