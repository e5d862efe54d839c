// Polls of discovery, and endpoint lists that are ignored. scenario.h describes the scenario language.
#include <gtest/gtest.h>

#include "scenario.h"

namespace {

ProxySetup pushed_lists() {
    ProxySetup setup;
    setup.endpoint_count = 2;
    setup.settings = {{"discovery", "pushed"}};
    return setup;
}

ProxySetup list_of_revision_zero() {
    ProxySetup setup;
    setup.list_revision = 0;
    return setup;
}

TEST(Discovery, PollsAgainAfterAResponseAndAfterAFailure) {
    play({}, R"(
        d.1 expect poll:after=1
        d.1 send list:5:changes:
        d.1 expect poll:after=5
        d.1 send status:503
        d.1 expect end
        d.2 expect poll:after=5)");
}

// Discovery may close a kept-alive connection just as the next poll is sent. That does not count as a failed
// poll.
TEST(Discovery, ReopensAConnectionThatIsClosedBetweenPolls) {
    play({}, R"(
        d.1 expect poll:after=1
        d.1 send list:5:full:m1=in_service
        d.1 expect poll:after=5
        d.1 close
        d.2 expect poll:after=5)");
}

TEST(Discovery, ServesClientsOnceTheFirstListArrives) {
    play(no_known_endpoints(), R"(
        d.1 expect poll:after=1
        d.1 send list:2:full:m1=in_service
        d.1 expect poll:after=2
        a send startup empty
        a expect auth_ok ready empty ready)");
}

// Revision 0 is valid. If it were treated as "no list yet", the proxy would poll the complete list in a tight
// loop.
TEST(Discovery, ContinuesFromRevisionZero) {
    play(list_of_revision_zero(), R"(
        d.1 expect poll:after=0
        d.1 send list:0:full:m1=in_service
        d.1 expect poll:after=0
        d.1 send list:1:changes:m1=in_service
        d.1 expect poll:after=1)");
}

// An older list could restore removed endpoints and remove new ones.
TEST(Discovery, TreatsAnOlderListAsAFailure) {
    play({}, R"(
        d.1 expect poll:after=1
        d.1 send list:5:changes:
        d.1 expect poll:after=5
        d.1 send list:4:full:
        d.1 expect end
        d.2 expect poll:after=5
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup)");
}

TEST(Discovery, TreatsACompleteListWithoutEndpointsAsAFailure) {
    play({}, R"(
        d.1 expect poll:after=1
        d.1 send list:5:full:
        d.1 expect end
        d.2 expect poll:after=1
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup)");
}

// A local agent pushes changes, but has to be polled for the first list.
TEST(Discovery, PollsALocalAgentForTheFirstList) {
    play(pushed_lists(), R"(
        d.1 expect poll:after=1
        d.1 send list:5:changes:m1=terminating
        d.1 expect poll:after=5
        a send startup read:1
        a expect auth_ok ready
        m2.1 expect startup)");
}

TEST(Discovery, AcceptsClientsWhileALocalAgentFails) {
    play(pushed_lists(), R"(
        d.1 expect poll:after=1
        d.1 send status:503
        d.2 expect poll:after=1
        a send startup empty
        a expect auth_ok ready empty ready)");
}

TEST(Discovery, TreatsAnInvalidListAsAFailure) {
    play({}, R"(
        d.1 expect poll:after=1
        d.1 send hex:485454502f312e3120323030204f4b0d0a436f6e74656e742d4c656e6774683a20330d0a0d0a7b7d7d
        d.1 expect end
        d.2 expect poll:after=1)");
}

}  // namespace
