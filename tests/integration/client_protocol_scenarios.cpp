// The client side: start-up, queries, pipelining, malformed input. The scenarios' language is described in
// scenario.h.
#include <gtest/gtest.h>

#include <string>

#include "scenario.h"

namespace {

// Two reads; the first is answered after a part of the second one's value has arrived.
const std::string kPartOfSecondValue = R"(
        a send startup read:1 read:2
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.2 expect startup
        m1.2 send up
        m1.2 expect query:id=2
        m1.2 send begin:200000 some:90000
        a wait 50
        m1.1 send row:first
        a expect row:first ready
        a holding 90000)";

std::string repeat(const std::string& text, int count) {
    std::string out;
    for (int i = 0; i < count; ++i) out += text;
    return out;
}

TEST(ClientProtocol, QueryRightBehindTheStartupMessage) {
    play({}, R"(
        a send startup read:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1,c=view
        m1.1 send row:v
        a expect row:v ready)");
}

TEST(ClientProtocol, EncryptionIsDeclinedAndAnEmptyQueryChecksReadiness) {
    play({}, R"(
        a send ssl
        a expect N
        a send startup
        a expect up ready
        a send empty
        a expect empty ready)");
}

TEST(ClientProtocol, IsNotReadyAndRejectsWithRetryAfterWhileNoMemberIsKnown) {
    play(no_known_members(), R"(
        a send startup empty
        a expect up ready error:57P03 ready
        a send read:1
        a expect error:57P03:1000 ready)");
}

TEST(ClientProtocol, PipelinedReadsOverlapAndAreAnsweredInOrder) {
    play({}, R"(
        a send startup read:1 read:2 empty
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.2 expect startup
        m1.2 send up
        m1.2 expect query:id=2
        m1.2 send row:second
        a behind
        m1.1 send row:first
        a expect row:first ready row:second ready empty ready)");
}

// A write waits until everything before it is answered, and everything behind it waits for the write.
TEST(ClientProtocol, PipelinedWritesRunOneAfterTheOther) {
    play({}, R"(
        a send startup write:1 read:2 empty
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send row:first
        a expect row:first ready
        m1.1 expect query:id=2
        m1.1 send row:second
        a expect row:second ready empty ready)");
}

TEST(ClientProtocol, AStreamedValueWaitsForTheAnswerBeforeIt) {
    play({}, kPartOfSecondValue + R"(
        m1.2 send some:110000 finish
        a expect large:200000 ready)");
}

TEST(ClientProtocol, AStreamedValueThatBreaksBehindAnotherAnswerFailsAlone) {
    play({}, kPartOfSecondValue + R"(
        m1.2 close
        a expect end)");
}

TEST(ClientProtocol, MalformedTextAndUnknownClassesAreErrorsAndNotForwarded) {
    play({}, R"(
        a send startup sql:SELECT_1
        a expect up ready error:22023 ready
        a send sql:SELECT_'x'_/*_id=1,c=view,d=soon,cluster=0_*/
        a expect error:22023 ready
        a send sql:SELECT_'x'_/*_id=1,c=nobody,d=1,cluster=0_*/
        a expect error:22023 ready
        a send sql:SELECT_'x'_/*_id=1,c=view,d=1,cluster=5_*/
        a expect error:57P03 ready
        a send ext
        a expect error:0A000 ready
        a send read:2
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=2)");
}

TEST(ClientProtocol, BytesThatAreNoProtocolEndTheConnectionWithAnError) {
    play({}, R"(
        a send hex:0000000900020000ff
        a expect error:08P01 end
        b send startup hex:51000000ff00
        b expect up ready
        b close
        c send startup hex:5100000002
        c expect up ready error:08P01 end
        e send startup hex:51ffffffff
        e expect up ready error:08P01 end
        f send startup hex:7a00000004
        f expect up ready error:08P01 end
        g send startup hex:510000000541
        g expect up ready error:08P01 end
        h send startup bye
        h expect up ready end)");
}

// Clients that ask nothing must not hold descriptors and buffers.
TEST(ClientProtocol, SilentAndIncompleteClientsAreClosed) {
    play({}, R"(
        a send hex:
        b send hex:00000022
        c send startup hex:5100
        e send startup
        a expect end
        b expect end
        c expect up ready error:08P01 end
        e expect up ready end)");
}

// Closing with unread input would reset the connection, and the client might not receive the error.
TEST(ClientProtocol, TheLastErrorArrivesWhileInputKeepsComing) {
    play({}, R"(
        a send startup
        a expect up ready
        a send hex:5104000000 flood
        a expect error:08P01 end)");
}

TEST(ClientProtocol, ARequestIdInUseIsRejectedUntilItsAnswer) {
    play({}, R"(
        a send startup read:7
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=7
        b send startup read:7
        b expect up ready error:22023 ready
        m1.1 send row:v
        a expect row:v ready
        b send read:7
        m1.1 expect query:id=7)");
}

// An iteration of the event loop takes only a few commands of a client, so another one does not wait for all
// of them.
TEST(ClientProtocol, HundredsOfCommandsDoNotDelayAnotherClient) {
    play({}, "a send startup" + repeat(" empty", 400) + R"(
        b send startup empty
        b expect up ready empty ready
        a behind
        a expect up ready empty ready empty ready)");
}

// A request's deadline counts from when it was sent, also while it waits for the answers before it.
TEST(ClientProtocol, TimeBehindAnotherRequestCounts) {
    play({}, R"(
        a send startup write:1 read:2,d=300 read:3
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 wait 400
        m1.1 send row:v
        a expect row:v ready error:53300:0 ready
        m1.1 expect query:id=3)");
}

// A half-close looks like a disconnect at first: a client that still reads gets its answer, and a closed
// one's attempt is cancelled.
TEST(ClientProtocol, AHalfClosedClientStillGetsItsAnswer) {
    play({}, R"(
        a send startup read:1 half
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        a wait 50
        m1.1 send row:v
        a expect row:v ready end)");
}

TEST(ClientProtocol, AnAttemptIsCancelledWhenItsClientCloses) {
    play({}, R"(
        a send startup read:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        a close
        m1.1 expect end)");
}

}  // namespace
