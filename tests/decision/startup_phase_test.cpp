// What a router that comes back believes, and when.
#include "startup_phase.h"

#include <gtest/gtest.h>

namespace {

using namespace sloestack::decision;

Settings of(int routers) {
    Settings s;
    s.router_count = routers;
    return s;
}

TEST(StartupPhase, MovesOnByEvidenceAloneAndNeverBack) {
    using State = StartupPhase::State;
    StartupPhase c(of(300));
    for (int g = 0; g < 20; ++g) c.on_request(g);
    for (int g = 0; g < 20; ++g) c.on_role_reported(g);
    EXPECT_EQ(c.state(), State::cold) << "whatever members say, the list is that of before";
    EXPECT_EQ(c.take_transition(60'000'000), std::nullopt);
    c.on_list_received();
    EXPECT_EQ(c.state(), State::serving) << "they have said it already";
    EXPECT_EQ(c.take_transition(412'345), "startup phase: serving after 412 ms");
    EXPECT_EQ(c.take_transition(500'000), std::nullopt) << "told once";

    StartupPhase other(of(300));
    other.on_list_received();
    EXPECT_EQ(other.state(), State::learning);
    EXPECT_EQ(other.take_transition(5'000), "startup phase: learning after 5 ms");
    other.on_role_reported(7);
    EXPECT_EQ(other.state(), State::learning) << "nobody has asked for anything";
    for (int g = 0; g < 20; ++g) other.on_request(g);
    for (int g = 0; g < 17; ++g) other.on_role_reported(g);
    EXPECT_EQ(other.state(), State::learning);
    other.on_role_reported(17);
    EXPECT_EQ(other.state(), State::serving) << "two groups may be out of reach";
    other.on_request(99);
    other.on_list_received();
    EXPECT_EQ(other.state(), State::serving);
}

}  // namespace
