// Attempts at endpoints: responses, errors, resets, retries and idle connections. scenario.h describes the
// scenario language.
#include <gtest/gtest.h>

#include "scenario.h"

namespace {

TEST(Attempt, ForwardsTheWholeValueAndReusesTheConnection) {
    play({}, R"(
        a send startup write:9f,k=5c0f
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:,cluster=0,k=5c0f
        m1.1 send role:primary applied_ms:5 row:whole
        a expect row:whole ready
        b send startup read:2
        b expect auth_ok ready
        m1.1 expect query:id=2)");
}

// A value may be larger than 64 KiB; it must not be treated as a malformed response.
TEST(Attempt, ForwardsALargeValueWhole) {
    play({}, R"(
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send large:400000
        a expect large:400000 ready)");
}

TEST(Attempt, ForwardsTheTimeLeft) {
    play({}, R"(
        a send startup
        a expect auth_ok ready
        a send read:1,d=90000
        m1.1 expect startup
        m1.1 wait 20
        m1.1 send auth_ok
        m1.1 expect query:d=8)");
}

TEST(Attempt, RetriesAtAnotherEndpointIfTheFirstIsNotEligible) {
    play(two_endpoints(), R"(
        a send startup write:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send role:replica error:25006
        m2.1 expect startup
        m2.1 send auth_ok
        m2.1 expect query:id=1
        m2.1 send role:primary row:done
        a expect row:done ready)");
}

// The request times out. If its connection were reused, the late response would be read as the response to
// the next request.
TEST(Attempt, DoesNotReuseAConnectionWithAnUnreadResponse) {
    play({}, R"(
        a send startup read:1,d=200
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        a expect error:53300 ready
        m1.1 expect end
        a send read:2
        m1.2 expect startup)");
}

// Once its last byte is written, a query may run. A rejection would promise the client that the write did not
// run.
TEST(Attempt, FailsAWriteThatMayHaveRunInsteadOfRejectingIt) {
    play({}, R"(
        a send startup write:1,d=300
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        a expect error:58000 ready)");
}

// limits.retry-after concerns the simulator's protocol only: on sockets a rejection without a Retry-After
// would mean "retry at once".
TEST(Attempt, RejectsWithRetryAfterWhateverTheSettings) {
    play({1, {{"limits", {{"retry-after", false}}}}, 1024, true}, R"(
        a send startup read:1,d=100
        a expect auth_ok ready rejected:retry_after ready)");
}

TEST(Attempt, RejectsAWriteThatWasNotSent) {
    play({}, R"(
        a send startup write:1,d=300
        a expect auth_ok ready
        m1.1 expect startup
        a expect error:53300 ready
        m1.1 send auth_ok
        b send startup read:2
        m1.1 expect query:id=2)");
}

TEST(Attempt, RetriesAfterAReset) {
    play(two_endpoints(), R"(
        a send startup write:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 close reset
        m1.2 expect startup
        m1.2 send auth_ok
        m1.2 expect query:id=1
        m1.2 send row:v
        a expect row:v ready)");
}

TEST(Attempt, TreatsGarbageFromAnEndpointAsAnError) {
    play({}, R"(
        a send startup read:1,d=2000
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send hex:ffffffffffffffff
        m1.1 expect end
        a expect error:53300 ready)");
}

// A pending attempt gets a connection as soon as it is free: a duplicate of the last response must not be
// read as the response to the next query.
TEST(Attempt, DoesNotReuseAConnectionWithExcessBytes) {
    play({}, R"(
        a send startup read:1
        b send startup read:2
        m1.1 expect startup
        m1.2 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send row:v row:v
        a expect auth_ok ready row:v ready
        m1.1 expect end
        m1.2 send auth_ok
        m1.2 expect query:id=2
        m1.2 send row:w
        b expect auth_ok ready row:w ready)");
}

TEST(Attempt, RetriesAtTheFirstByteOfAnInvalidMessageType) {
    play({}, R"(
        a send startup write:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send hex:78
        m1.1 expect end
        m1.2 expect startup)");
}

// An incomplete message has a time-out of its own, which is far shorter than the deadline of the request.
TEST(Attempt, RetriesAfterAnIncompleteResponse) {
    play({}, R"(
        a send startup write:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send hex:54000000
        m1.1 expect end
        m1.2 expect startup)");
}

// The value of a response that ends in garbage may be corrupt and must not be forwarded.
TEST(Attempt, RetriesAfterAResponseThatEndsInGarbage) {
    play({}, R"(
        a send startup write:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send row_without_ready:v hex:ff
        m1.2 expect startup
        m1.2 send auth_ok
        m1.2 expect query:id=1
        m1.2 send row:w
        a expect row:w ready)");
}

// The endpoint begins to drain after it was chosen, while the connection to it is being opened: a draining
// endpoint must get no new query.
TEST(Attempt, IsNotSentToAnEndpointThatDrainsWhileConnecting) {
    play(two_endpoints(), R"(
        d.1 expect poll:after=1
        a send startup write:1
        a expect auth_ok ready
        m1.1 expect startup
        d.1 send list:2:changes:m1=terminating
        d.1 expect poll:after=2
        m1.1 wait 40
        m1.1 send auth_ok
        m1.1 expect end)");
}

TEST(Attempt, ClosesIdleConnectionsBeforeTheEndpointDoes) {
    play({1, {{"limits", {{"conn-idle-us", 100000}}}}, 1024, true}, R"(
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send row:v
        a expect row:v ready
        m1.1 expect end)");
}

}  // namespace
