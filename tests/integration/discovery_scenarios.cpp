// Polling of discovery, and the endpoint lists that are rejected. The scenarios' language is described in
// scenario.h.
#include <gtest/gtest.h>

#include "scenario.h"

namespace {

ProxySetup pushed_lists() {
    ProxySetup setup;
    setup.members = 2;
    setup.settings = {{"discovery", "pushed"}};
    return setup;
}

ProxySetup list_of_revision_zero() {
    ProxySetup setup;
    setup.list_revision = 0;
    return setup;
}

TEST(Discovery, ThePollIsRepeatedAfterEachAnswerAndAfterAFailure) {
    play({}, R"(
        d.1 expect call:after=1
        d.1 send list:5:changes:
        d.1 expect call:after=5
        d.1 send status:503
        d.1 expect end
        d.2 expect call:after=5)");
}

// A reused connection may be closed just as the next poll is sent: that is no failure.
TEST(Discovery, AConnectionClosedBetweenPollsIsReopenedAtOnce) {
    play({}, R"(
        d.1 expect call:after=1
        d.1 send list:5:full:m1=in_service
        d.1 expect call:after=5
        d.1 close
        d.2 expect call:after=5)");
}

TEST(Discovery, MembersComeWithTheFirstList) {
    play(no_known_members(), R"(
        d.1 expect call:after=1
        d.1 send list:2:full:m1=in_service
        d.1 expect call:after=2
        a send startup empty
        a expect up ready empty ready)");
}

// 0 is a revision like any other: the complete list must not be polled again and again without a wait.
TEST(Discovery, AListOfRevisionZeroIsPolledFromThere) {
    play(list_of_revision_zero(), R"(
        d.1 expect call:after=0
        d.1 send list:0:full:m1=in_service
        d.1 expect call:after=0
        d.1 send list:1:changes:m1=in_service
        d.1 expect call:after=1)");
}

// An older list could bring back removed members and remove new ones.
TEST(Discovery, AnOlderListIsAFailureAndChangesNothing) {
    play({}, R"(
        d.1 expect call:after=1
        d.1 send list:5:changes:
        d.1 expect call:after=5
        d.1 send list:4:full:
        d.1 expect end
        d.2 expect call:after=5
        a send startup read:1
        a expect up ready
        m1.1 expect startup)");
}

TEST(Discovery, ACompleteListWithoutMembersIsAFailureAndChangesNothing) {
    play({}, R"(
        d.1 expect call:after=1
        d.1 send list:5:full:
        d.1 expect end
        d.2 expect call:after=1
        a send startup read:1
        a expect up ready
        m1.1 expect startup)");
}

// A local agent pushes lists, but has to be polled once for the first one.
TEST(Discovery, WhereListsArePushedTheAgentIsAskedAtTheStart) {
    play(pushed_lists(), R"(
        d.1 expect call:after=1
        d.1 send list:5:changes:m1=terminating
        d.1 expect call:after=5
        a send startup read:1
        a expect up ready
        m2.1 expect startup)");
}

TEST(Discovery, AnAgentThatDoesNotAnswerKeepsNoClientOut) {
    play(pushed_lists(), R"(
        d.1 expect call:after=1
        d.1 send status:503
        d.2 expect call:after=1
        a send startup empty
        a expect up ready empty ready)");
}

TEST(Discovery, AnAnswerThatIsNoListIsAFailure) {
    play({}, R"(
        d.1 expect call:after=1
        d.1 send hex:485454502f312e3120323030204f4b0d0a436f6e74656e742d4c656e6774683a20330d0a0d0a7b7d7d
        d.1 expect end
        d.2 expect call:after=1)");
}

}  // namespace
