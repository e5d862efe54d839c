// Values and statements that are passed on in pieces. The scenarios' language is described in scenario.h.
#include <gtest/gtest.h>

#include "scenario.h"

namespace {

// A started answer is streamed to the client at once, and its deadline no longer applies.
TEST(LargeValue, AStartedAnswerIsStreamedAndNotCutOffAtItsDeadline) {
    play({}, R"(
        a send startup read:1,d=300
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send begin:200000 some:90000
        a wait 500
        a holding 90000
        m1.1 send some:110000 finish
        a expect large:200000 ready
        o send call:GET:/api/telemetry
        o expect status:200 says:"view":{"errors":0,"ok":1,"shed":0,"tries":1})");
}

TEST(LargeValue, AResetByTheMemberEndsTheClientsConnection) {
    play(two_members(), R"(
        a send startup read:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send begin:200000 some:90000
        a holding 90000
        m1.1 close
        a expect end
        o send call:GET:/api/telemetry
        o expect status:200 says:"view":{"errors":1,"ok":0,"shed":0,"tries":1})");
}

TEST(LargeValue, AClientThatLeavesEndsTheAttempt) {
    play({}, R"(
        a send startup read:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send begin:200000 some:90000
        a holding 90000
        a close hard
        m1.1 expect end)");
}

// The bytes wait at the member, not in the proxy, and the member is not taken for hung meanwhile.
TEST(LargeValue, AMemberIsReadNoFasterThanTheClientReads) {
    play({}, R"(
        a send startup read:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send begin:4194304 some:4194304
        m1.1 holds a
        a expect large:4194304
        m1.1 send finish
        a expect ready)");
}

// The notice that probes whether a client is still there must not be written into a value.
TEST(LargeValue, AnEndOfInputPutsNothingIntoTheValue) {
    play({}, R"(
        a send startup read:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send begin:300000 some:100000
        a holding 50000
        a send half
        m1.1 send some:200000 finish
        a expect large:300000 ready end)");
}

TEST(LargeValue, ARowLongerThanItsMessageIsRejectedAndRetried) {
    play(two_members(), R"(
        a send startup read:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        m1.1 send lie
        m1.1 expect end
        m2.1 expect startup
        m2.1 send up
        m2.1 expect query:id=1
        m2.1 send row:v
        a expect row:v ready)");
}

TEST(LargeValue, ALargeStatementPassesWholeWithItsTimeLeftReplaced) {
    play({}, R"(
        a send startup big:1:3000000
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:zzy'
        m1.1 send row:v
        a expect row:v ready
        a send big:2:9000000
        a expect error:08P01 end)");
}

// A small message may take 2 s; an incomplete one is given up 3 s after the connection was opened.
TEST(LargeValue, ASlowStartupMessageIsRead) {
    play({}, R"(
        a send hex:000000
        a wait 1600
        a send hex:2100030000757365720078006461746162617365007800 hex:00000000000000
        a expect up)");
}

}  // namespace
