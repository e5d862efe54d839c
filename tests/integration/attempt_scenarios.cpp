// Attempts at members: answers, errors, resets, retries, idle connections. The scenarios' language is
// described in scenario.h.
#include <gtest/gtest.h>

#include "scenario.h"

namespace {

TEST(Attempt, TheValuePassesWholeAndTheConnectionIsReused) {
    play({}, R"(
        a send startup write:9f,k=5c0f
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:,cluster=0,k=5c0f
        m1.1 send role:primary at:5 row:whole
        a expect row:whole ready
        b send startup read:2
        b expect up ready
        m1.1 expect query:id=2)");
}

// A value may be larger than 64 KiB; it must not be taken for a malformed answer.
TEST(Attempt, ALargeValuePassesWhole) {
    play({}, R"(
        a send startup read:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send large:400000
        a expect large:400000 ready)");
}

TEST(Attempt, TheTimeLeftIsForwarded) {
    play({}, R"(
        a send startup
        a expect up ready
        a send read:1,d=90000
        m1.1 expect startup
        m1.1 wait 20
        m1.1 send up
        m1.1 expect query:d=8)");
}

TEST(Attempt, AMemberThatIsNotEligibleLeadsToAnother) {
    play(two_members(), R"(
        a send startup write:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send role:replica error:25006
        m2.1 expect startup
        m2.1 send up
        m2.1 expect query:id=1
        m2.1 send role:primary row:done
        a expect row:done ready)");
}

// A late answer must not be taken for the answer to the connection's next request.
TEST(Attempt, AConnectionWithAnUnreadAnswerIsNotReused) {
    play({}, R"(
        a send startup read:1,d=200
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        a expect error:53300 ready
        m1.1 expect end
        a send read:2
        m1.2 expect startup)");
}

// Once the last byte is written the query may run: a write must not be rejected after that.
TEST(Attempt, AWriteThatMayHaveRunFailsAndIsNotRejected) {
    play({}, R"(
        a send startup write:1,d=300
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        a expect error:58000 ready)");
}

// The setting concerns the simulator's protocol; on sockets a rejection without a Retry-After would mean
// "retry at once".
TEST(Attempt, ARejectionCarriesRetryAfterWhateverTheSettingsSay) {
    play({1, {{"limits", {{"retry-after", false}}}}, 1024, true}, R"(
        a send startup read:1,d=100
        a expect up ready refused:advised ready)");
}

TEST(Attempt, AWriteThatWasNotSentIsRejected) {
    play({}, R"(
        a send startup write:1,d=300
        a expect up ready
        m1.1 expect startup
        a expect error:53300 ready
        m1.1 send up
        b send startup read:2
        m1.1 expect query:id=2)");
}

TEST(Attempt, IsRetriedAfterAReset) {
    play(two_members(), R"(
        a send startup write:1
        a expect up ready
        m1.1 expect startup
        m1.1 close hard
        m1.2 expect startup
        m1.2 send up
        m1.2 expect query:id=1
        m1.2 send row:v
        a expect row:v ready)");
}

TEST(Attempt, GarbageFromAMemberIsAnError) {
    play({}, R"(
        a send startup read:1,d=2000
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send hex:ffffffffffffffff
        m1.1 expect end
        a expect error:53300 ready)");
}

// A pending attempt takes a connection as soon as it is free: a second copy of the last answer must not be
// taken for the answer to the next query.
TEST(Attempt, AConnectionWithExcessBytesIsNotReused) {
    play({}, R"(
        a send startup read:1
        b send startup read:2
        m1.1 expect startup
        m1.2 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send row:v row:v
        a expect up ready row:v ready
        m1.1 expect end
        m1.2 send up
        m1.2 expect query:id=2
        m1.2 send row:w
        b expect up ready row:w ready)");
}

TEST(Attempt, AnImpossibleMessageTypeIsRejectedByItsFirstByte) {
    play({}, R"(
        a send startup write:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send hex:78
        m1.1 expect end
        m1.2 expect startup)");
}

TEST(Attempt, AnAnswerWithoutEndIsNotAwaited) {
    play({}, R"(
        a send startup write:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send hex:54000000
        m1.1 expect end
        m1.2 expect startup)");
}

// An answer with garbage behind it is corrupt: its value must not be passed on.
TEST(Attempt, AnAnswerThatEndsInGarbageHasFailed) {
    play({}, R"(
        a send startup write:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send unready:v hex:ff
        m1.2 expect startup
        m1.2 send up
        m1.2 expect query:id=1
        m1.2 send row:w
        a expect row:w ready)");
}

// The endpoint list may change between the decision and the connection: a draining member gets no new query.
TEST(Attempt, IsNotSentToAMemberThatDrainsWhileTheConnectionOpens) {
    play(two_members(), R"(
        d.1 expect call:after=1
        a send startup write:1
        a expect up ready
        m1.1 expect startup
        d.1 send list:2:changes:m1=terminating
        d.1 expect call:after=2
        m1.1 wait 40
        m1.1 send up
        m1.1 expect end)");
}

TEST(Attempt, ConnectionsCloseBeforeTheMembersIdleLimit) {
    play({1, {{"limits", {{"conn-idle-us", 100000}}}}, 1024, true}, R"(
        a send startup read:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send row:v
        a expect row:v ready
        m1.1 expect end)");
}

}  // namespace
