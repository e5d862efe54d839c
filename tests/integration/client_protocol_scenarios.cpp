// Client sessions: start-up, queries, pipelining and malformed input. scenario.h describes the scenario
// language.
#include <gtest/gtest.h>

#include <string>

#include "scenario.h"

namespace {

// Two pipelined reads. Part of the second response's value has reached the proxy when the first response
// arrives.
const std::string kPartOfSecondValue = R"(
        a send startup read:1 read:2
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.2 expect startup
        m1.2 send auth_ok
        m1.2 expect query:id=2
        m1.2 send row_header:200000 value_bytes:90000
        a wait 50
        m1.1 send row:first
        a expect row:first ready
        a await_bytes 90000)";

std::string repeat(const std::string& text, int count) {
    std::string out;
    for (int i = 0; i < count; ++i) out += text;
    return out;
}

TEST(ClientProtocol, AcceptsAQueryRightBehindTheStartupMessage) {
    play({}, R"(
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1,c=view
        m1.1 send row:v
        a expect row:v ready)");
}

TEST(ClientProtocol, DeclinesEncryptionAndRespondsToAnEmptyQueryWhenReady) {
    play({}, R"(
        a send ssl
        a expect N
        a send startup
        a expect auth_ok ready
        a send empty
        a expect empty ready)");
}

TEST(ClientProtocol, RejectsWithRetryAfterWhileNoEndpointIsKnown) {
    play(no_known_endpoints(), R"(
        a send startup empty
        a expect auth_ok ready error:57P03 ready
        a send read:1
        a expect error:57P03:1000 ready)");
}

TEST(ClientProtocol, RunsPipelinedReadsInParallelAndRespondsInOrder) {
    play({}, R"(
        a send startup read:1 read:2 empty
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.2 expect startup
        m1.2 send auth_ok
        m1.2 expect query:id=2
        m1.2 send row:second
        a expect_few_messages
        m1.1 send row:first
        a expect row:first ready row:second ready empty ready)");
}

// A write starts once all requests before it have their response, and the requests after it wait for the
// write.
TEST(ClientProtocol, RunsAPipelinedWriteAlone) {
    play({}, R"(
        a send startup write:1 read:2 empty
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send row:first
        a expect row:first ready
        m1.1 expect query:id=2
        m1.1 send row:second
        a expect row:second ready empty ready)");
}

TEST(ClientProtocol, StreamsAValueAfterTheResponseBeforeIt) {
    play({}, kPartOfSecondValue + R"(
        m1.2 send value_bytes:110000 command_complete
        a expect large:200000 ready)");
}

TEST(ClientProtocol, ABrokenStreamDoesNotAffectTheResponseBeforeIt) {
    play({}, kPartOfSecondValue + R"(
        m1.2 close
        a expect end)");
}

TEST(ClientProtocol, DoesNotForwardMalformedStatementsAndUnknownClasses) {
    play({}, R"(
        a send startup sql:SELECT_1
        a expect auth_ok ready error:22023 ready
        a send sql:SELECT_'x'_/*_id=1,c=view,d=soon,cluster=0_*/
        a expect error:22023 ready
        a send sql:SELECT_'x'_/*_id=1,c=nobody,d=1,cluster=0_*/
        a expect error:22023 ready
        a send sql:SELECT_'x'_/*_id=1,c=view,d=1,cluster=5_*/
        a expect error:57P03 ready
        a send extended_query
        a expect error:0A000 ready
        a send read:2
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=2)");
}

TEST(ClientProtocol, ClosesTheConnectionAfterAProtocolError) {
    play({}, R"(
        a send hex:0000000900020000ff
        a expect error:08P01 end
        b send startup hex:51000000ff00
        b expect auth_ok ready
        b close
        c send startup hex:5100000002
        c expect auth_ok ready error:08P01 end
        e send startup hex:51ffffffff
        e expect auth_ok ready error:08P01 end
        f send startup hex:7a00000004
        f expect auth_ok ready error:08P01 end
        g send startup hex:510000000541
        g expect auth_ok ready error:08P01 end
        h send startup terminate
        h expect auth_ok ready end)");
}

// Clients that send nothing or only part of a message must not keep descriptors and buffers.
TEST(ClientProtocol, ClosesSilentClientsAndIncompleteMessages) {
    play({}, R"(
        a send hex:
        b send hex:00000022
        c send startup hex:5100
        e send startup
        a expect end
        b expect end
        c expect auth_ok ready error:08P01 end
        e expect auth_ok ready end)");
}

// Closing a socket with unread input would reset the connection, and the client might lose the error message.
TEST(ClientProtocol, DeliversTheErrorWhileInputKeepsComing) {
    play({}, R"(
        a send startup
        a expect auth_ok ready
        a send hex:5104000000 garbage
        a expect error:08P01 end)");
}

TEST(ClientProtocol, RejectsARequestIdThatIsInUse) {
    play({}, R"(
        a send startup read:7
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=7
        b send startup read:7
        b expect auth_ok ready error:22023 ready
        m1.1 send row:v
        a expect row:v ready
        b send read:7
        m1.1 expect query:id=7)");
}

// An event-loop iteration handles only a few messages of each client, so another client does not wait for all
// 400.
TEST(ClientProtocol, ManyMessagesDoNotDelayAnotherClient) {
    play({}, "a send startup" + repeat(" empty", 400) + R"(
        b send startup empty
        b expect auth_ok ready empty ready
        a expect_few_messages
        a expect auth_ok ready empty ready empty ready)");
}

// A request's deadline counts from its arrival, also while it waits for the requests before it.
TEST(ClientProtocol, DeadlineIncludesTheTimeBehindEarlierRequests) {
    play({}, R"(
        a send startup write:1 read:2,d=300 read:3
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 wait 400
        m1.1 send row:v
        a expect row:v ready error:53300:0 ready
        m1.1 expect query:id=3)");
}

// The end of a client's input may be a half-close or a disconnect. After a half-close the client gets its
// response; after a disconnect (the next test) the attempt is cancelled.
TEST(ClientProtocol, RespondsToAHalfClosedClient) {
    play({}, R"(
        a send startup read:1 half_close
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        a wait 50
        m1.1 send row:v
        a expect row:v ready end)");
}

TEST(ClientProtocol, CancelsTheAttemptWhenTheClientCloses) {
    play({}, R"(
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        a close
        m1.1 expect end)");
}

}  // namespace
