// Stories of single moments: a stop at each stage, descriptors that clients fill, settings side by side.
#include <csignal>

#include "world.h"

namespace {

using namespace loopback;

// Up to the moment in which it would be killed.
void run_to_its_end(World& w) {
    for (Micros passed = 0; passed < kKill && !w.over(); passed += 10'000) {
        w.turns(3);
        w.clock.at += 10'000;
    }
    EXPECT_TRUE(w.over());
}

TEST(Stop, BeforeTheFirstListEndsAtOnce) {
    World w(deployment(), 256, false);
    raise(SIGTERM);
    run_to_its_end(w);
}

TEST(Stop, BeforeAnAgentsFirstWordEndsAtOnce) {
    auto pushed = deployment();
    pushed["discovery"] = "pushed";
    World w(pushed);
    raise(SIGTERM);
    run_to_its_end(w);
}

TEST(Stop, TwiceAndWithASighupEndsOnce) {
    World w;
    w.open_watch();
    w.connect();
    w.ask("glance");
    w.await([&] { return !w.queries.empty(); });
    raise(SIGTERM);
    raise(SIGTERM);
    raise(SIGHUP);
    w.turns();
    raise(SIGTERM);
    w.turns();
    w.answer_all();
    w.await([&] { return w.answers() == 1; });
    run_to_its_end(w);
    EXPECT_TRUE(w.client.ended);
}

// No member answers any more: what was taken is answered as failed before the kill, and late enough.
TEST(Stop, WithMembersThatHangAnswersAllThatWasTaken) {
    for (const auto& c : kClasses) {
        World w;
        w.open_watch();
        w.connect();
        w.ask(c.name);
        w.await([&] { return !w.queries.empty(); });
        raise(SIGTERM);
        run_to_its_end(w);
        EXPECT_EQ(w.answers(), 1) << c.name;
        EXPECT_TRUE(w.client.ended);
    }
}

// The client goes on sending on its connection for as long as that is open: each request is answered, or had
// not been read when the proxy shut its side.
TEST(Stop, AClientThatAsksOnLosesNothing) {
    World w;
    w.open_watch();
    w.connect();
    raise(SIGTERM);
    for (Micros passed = 0; passed < kKill && !w.over(); passed += 10'000) {
        if (!w.client.ended && w.answers() == w.asked) w.ask("amend");
        w.turns(4);
        w.answer_all();
        w.turns(4);
        w.clock.at += 10'000;
    }
    EXPECT_TRUE(w.over());
    EXPECT_GT(w.answers(), 50);
    for (const auto& q : w.queries) EXPECT_LE(std::stoi(q.id.substr(1)), w.answers()) << q.id;
}

// All shares of descriptors are in use, so one more client waits with the kernel, when the listener is
// closed.
TEST(Stop, AnswersWhoTheKernelHadAcceptedBeforeTheListenerCloses) {
    World w(deployment(), 64);
    w.open_watch();
    const auto startup = text([](auto& b) { b.startup("u", "d"); });
    const auto shares = net::divide_descriptors(64);
    std::vector<Peer> busy;
    for (int i = 0; i < shares.clients + shares.overflow; ++i) {
        busy.push_back(connect_to(w.port()));
        busy.back().send(startup + w.request("glance").substr(0, 20));  // half of one: it makes no room
        w.turns();
    }
    Peer last = connect_to(w.port());
    last.send(startup + w.request("glance"));
    w.turns();
    last.read();
    ASSERT_TRUE(last.in.empty()) << "nobody has accepted it";
    raise(SIGTERM);
    w.turns();
    w.clock.at += 650'000;  // in this sweep the listener goes
    w.turns(40);
    last.read();
    EXPECT_NE(last.in.find("53300"), std::string::npos) << "it is told to come again";
    w.go_on(kKill);
    EXPECT_TRUE(w.over());
}

// Both ends shut in one instant, with a request on its way: nothing read behind the shutdown is sent on.
TEST(Close, AnIdleConnectionIsClosedOverARequestThatIsNotTaken) {
    World w;
    w.open_watch();
    w.connect();
    w.ask_and_serve("amend");
    w.clock.at += 11'000'000;  // idle for too long
    w.await([&] { return w.client.ended; });
    const auto before = w.queries.size();
    w.ask("amend");
    w.turns();
    EXPECT_FALSE(w.client.was_reset()) << "a reset can take the last answer with it";
    w.go_on(1'500'000);
    EXPECT_EQ(w.queries.size(), before);
    EXPECT_EQ(w.answers(), 1);
}

// The other order: the request is with the kernel as the proxy is about to close, so it is taken.
TEST(Close, ARequestThatComesBeforeAnIdleConnectionIsClosedIsTaken) {
    World w;
    w.open_watch();
    w.connect();
    w.ask_and_serve("amend");
    w.clock.at += 11'000'000;
    w.ask("amend");
    w.await([&] { return w.queries.size() == 2; });
    w.answer_all();
    w.await([&] { return w.answers() == 2; });
    EXPECT_FALSE(w.client.ended);
}

// A repeat was chosen within the window, and its connection comes up within it or behind it.
TEST(Repeat, ThatWaitsForItsConnectionBeginsWithinItsWindowOrNotAtAll) {
    for (const bool in_time : {true, false}) {
        World w;
        w.open_watch();
        w.connect();
        w.ask("amend");
        w.await([&] { return !w.queries.empty(); });
        w.clock.at += kWindow - 100'000;
        w.turns();
        w.members_greet = false;
        w.reset_members();  // it may have run
        w.turns();
        w.clock.at += in_time ? 50'000 : 150'000;
        w.members_greet = true;
        w.turns();
        EXPECT_EQ(w.queries.size(), in_time ? 2u : 1u);
        w.go_on(kDeadline);
        EXPECT_EQ(w.answers(), 1);
        EXPECT_EQ(w.queries.size(), in_time ? 2u : 1u);
    }
}

// Whatever the number of descriptors, their shares and the process's own fit into them.
TEST(Descriptors, SharesNeverExceedThem) {
    for (int all = 64; all < 5000; ++all) {
        const auto shares = net::divide_descriptors(all);
        EXPECT_LE(shares.total() + 16, all);
        EXPECT_GE(std::min({shares.clients, shares.upstream, shares.overflow, shares.lingering}), 8) << all;
    }
}

// Idle clients take all that clients may have while discovery is down: it is called on, and members are
// reached.
TEST(Descriptors, IdleClientsLeaveRoomForDiscoveryAndMembers) {
    World w(deployment(), 64);
    w.open_watch();
    std::vector<Peer> idle;
    w.reset_watch();
    for (int i = 0; i < 120; ++i) {
        idle.push_back(connect_to(w.port()));
        idle.back().send(text([](auto& b) { b.startup("u", "d"); }));
        w.turn();
    }
    w.clock.at += 100'000;
    w.turns(40);
    w.open_watch();  // discovery answers again, and is asked
    w.drain();       // of the first member
    w.turns();
    w.clock.at += 100'000;
    w.turns(40);
    w.connect();
    w.ask("glance");
    w.await([&] { return !w.queries.empty(); });
    EXPECT_NE(w.queries.back().member, w.drained);
    w.answer_all();
    w.await([&] { return w.answers() == 1; });
}

// Several commands come at once, and more while the first is open: each one's time counts from its own last
// byte.
TEST(Pipeline, TimeCountsFromWhenACommandCameNotFromTheAnswerBeforeIt) {
    World w;
    w.open_watch();
    w.connect();
    const auto second = w.request("amend"), first = w.request("amend");
    w.client.send(first + second.substr(0, 20));
    w.await([&] { return w.queries.size() == 1; });
    w.clock.at += 300'000;
    w.client.send(second.substr(20));  // it is whole, and comes now
    w.turns();
    w.clock.at += 200'000;
    w.client.send(w.request("amend", 400'000));
    w.turns();
    w.clock.at += 500'000;
    w.turns();
    w.answer_all();
    w.await([&] { return w.queries.size() == 2; });
    EXPECT_EQ(w.queries.back().left, kDeadline - 700'000) << "what is left to the client";
    w.answer_all();
    w.await([&] { return w.answers() == 3; });
    EXPECT_NE(w.client.in.find("53300"), std::string::npos)
        << "nothing was left to the third: refused at once";
    EXPECT_EQ(w.queries.size(), 2u) << "and never sent on";
    EXPECT_FALSE(w.client.ended);
}

// Reads of a connection overlap; whatever else it asks waits for all before it, and all behind it for that.
TEST(Pipeline, ReadsOverlapAndAreAnsweredInOrder) {
    for (const auto* other : {"amend", "issue"}) {
        World w;
        w.open_watch();
        w.connect();
        for (const auto* request_class : {"glance", "glance", other, "glance"}) w.ask(request_class);
        const auto asked = [&w] {
            std::set<std::string> out;
            for (const auto& q : w.queries) out.insert(q.id);
            return out;
        };
        w.await([&] { return w.queries.size() >= 2; });
        w.turns();
        EXPECT_EQ(asked(), (std::set<std::string>{"r1", "r2"}));
        w.answer("r2");
        w.turns();
        EXPECT_EQ(w.answers(), 0) << "it waits for the first";
        EXPECT_EQ(w.queries.size(), 2u);
        w.answer("r1");
        w.await([&] { return w.answers() == 2 && w.queries.size() >= 3; });
        w.turns();
        EXPECT_LT(w.client.in.find("r1!"), w.client.in.find("r2!"));
        EXPECT_EQ(asked(), (std::set<std::string>{"r1", "r2", "r3"}));
        w.answer("r3");
        w.await([&] { return w.queries.size() == 4; });
        w.answer("r4");
        w.await([&] { return w.answers() == 4; });
    }
}

// However many a client sends, so many are open at once, and none once it has left.
TEST(Pipeline, ReadsThatOverlapAreBoundedAndGoWithTheirClient) {
    World w;
    w.open_watch();
    w.connect();
    std::string many;
    for (int i = 0; i < 20; ++i) many += w.request("glance");
    w.client.send(many);
    w.await([&] { return w.queries.size() == 8; });
    w.turns();
    EXPECT_EQ(w.queries.size(), 8u);
    w.answer("r1");
    w.await([&] { return w.queries.size() == 9; });
    w.client.reset();
    w.turns();
    w.answer_all();
    w.go_on(kDeadline);
    EXPECT_EQ(w.queries.size(), 9u);
}

// The second one's time ends while it is open: it is answered then, not when it would have been alone.
TEST(Pipeline, ACommandIsGivenUpAtItsOwnTime) {
    World w;
    w.open_watch();
    w.connect();
    w.ask("amend");
    w.ask("glance");
    w.await([&] { return w.queries.size() == 1; });
    w.clock.at += 1'500'000;
    w.turns();
    w.answer_all();
    w.await([&] { return w.queries.size() == 2; });
    w.clock.at += 510'000;
    w.await([&] { return w.answers() == 2; });
}

// Two customers side by side: what only the other one has is an error here, and is never sent on.
TEST(Settings, OfAnotherCustomerAreUnknownHere) {
    const std::vector<Class> others = {
        {"mend", "non_idempotent"}, {"glance", "idempotency_key"}, {"list", "read_like"}};
    World ours, theirs(deployment(others));
    for (auto* w : {&ours, &theirs}) {
        w->open_watch();
        w->connect();
    }
    ours.ask("mend");
    theirs.ask("amend");
    for (auto* w : {&ours, &theirs}) {
        w->await([&] { return w->answers() == 1; });
        EXPECT_NE(w->client.in.find("22023"), std::string::npos);
        EXPECT_TRUE(w->queries.empty());
    }
    // A name that both have stands for another effect in each, and another place in the list.
    for (auto* w : {&ours, &theirs}) {
        w->ask("glance");
        w->await([&] { return !w->queries.empty(); });
        w->reset_members();
        w->go_on(kWindow / 2);
    }
    EXPECT_EQ(ours.queries.size(), 2u) << "a read is tried again";
    EXPECT_EQ(theirs.queries.size(), 2u) << "and so is what carries a key, within its window";
    for (auto* w : {&ours, &theirs}) w->go_on(kDeadline);
    theirs.ask("mend");
    theirs.await([&] { return theirs.queries.size() == 3; });
    theirs.reset_members();
    theirs.go_on(kDeadline);
    EXPECT_EQ(theirs.queries.size(), 3u) << "what must not be repeated is not";
}

}  // namespace
