// Values and statements that are forwarded in chunks. scenario.h describes the scenario language.
#include <gtest/gtest.h>

#include "scenario.h"

namespace {

// A response whose value has begun is streamed to the client at once, and the deadline no longer applies to
// it.
TEST(LargeValue, StreamsAStartedResponseBeyondItsDeadline) {
    play({}, R"(
        a send startup read:1,d=300
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send row_header:200000 value_bytes:90000
        a wait 500
        a await_bytes 90000
        m1.1 send value_bytes:110000 command_complete
        a expect large:200000 ready
        o send request:GET:/api/telemetry
        o expect status:200 body:"view":{"errors":0,"ok":1,"shed":0,"tries":1})");
}

// A value of a little over 64 KiB was buffered whole, and cut off at the deadline while it was arriving.
TEST(LargeValue, StreamsEveryValueOver64KiBBeyondItsDeadline) {
    play({}, R"(
        a send startup read:1,d=300
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send row_header:66000 value_bytes:30000
        a wait 500
        a await_bytes 30000
        m1.1 send value_bytes:36000 command_complete
        a expect large:66000 ready)");
}

// A response that an endpoint wrote slowly was cut off at its first pause of 150 ms, again at each retry.
TEST(LargeValue, WaitsForAResponseThatIsWrittenSlowly) {
    play(two_endpoints(), R"(
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send row_header:60000 value_bytes:20000
        a wait 400
        m1.1 send value_bytes:40000 command_complete
        a expect large:60000 ready)");
}

TEST(LargeValue, ClosesTheClientIfTheEndpointClosesMidValue) {
    play(two_endpoints(), R"(
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send row_header:200000 value_bytes:90000
        a await_bytes 90000
        m1.1 close
        a expect end
        o send request:GET:/api/telemetry
        o expect status:200 body:"view":{"errors":1,"ok":0,"shed":0,"tries":1})");
}

constexpr const char* kThreeQueriesBehindAValue = R"(
        a send startup read:1 read:2 write:3
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.2 expect startup
        m1.2 send auth_ok
        m1.2 expect query:id=2
        m1.2 send row:w
        m1.1 send row_header:500000 value_bytes:90000
        a await_bytes 90000)";

// Reads that endpoints had answered got no answer behind a large value that broke off on their connection.
TEST(LargeValue, AnswersTheQueriesBehindAValueThatBreaksOff) {
    play({}, std::string(kThreeQueriesBehindAValue) + R"(
        m1.1 close reset
        a expect large:500000 error:58000 ready row:w ready
        m1.2 expect query:id=3
        m1.2 send row:x
        a expect row:x ready)");
}

// The same at the end of a stop, which cuts the value off.
TEST(LargeValue, AnswersTheQueriesBehindAValueThatAStopCutsOff) {
    play({}, std::string(kThreeQueriesBehindAValue) + R"(
        proxy sigterm
        a expect large:500000 error:57P01 ready row:w ready error:53300 ready end)");
}

TEST(LargeValue, CancelsTheAttemptIfTheClientDisconnectsMidValue) {
    play({}, R"(
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send row_header:200000 value_bytes:90000
        a await_bytes 90000
        a close reset
        m1.1 expect end)");
}

// The client reads nothing for a while: the bytes wait at the endpoint instead of in the proxy's memory, and
// the endpoint is not treated as hung.
TEST(LargeValue, ReadsTheEndpointNoFasterThanTheClientReads) {
    play({}, R"(
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send row_header:4194304 value_bytes:4194304
        m1.1 check_backpressure a
        a expect large:4194304
        m1.1 send command_complete
        a expect ready)");
}

// The proxy writes a notice to find out whether a half-closed client has disconnected. It must not write it
// into the middle of a value.
TEST(LargeValue, AHalfCloseAddsNothingToTheValue) {
    play({}, R"(
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send row_header:300000 value_bytes:100000
        a await_bytes 50000
        a send half_close
        m1.1 send value_bytes:200000 command_complete
        a expect large:300000 ready end)");
}

TEST(LargeValue, RetriesAfterARowLongerThanItsMessage) {
    play(two_endpoints(), R"(
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send oversized_row
        m1.1 expect end
        m2.1 expect startup
        m2.1 send auth_ok
        m2.1 expect query:id=1
        m2.1 send row:v
        a expect row:v ready)");
}

TEST(LargeValue, ForwardsALargeStatementWhole) {
    play({}, R"(
        a send startup large_write:1:3000000
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:zzy'
        m1.1 send row:v
        a expect row:v ready
        a send large_write:2:9000000
        a expect error:08P01 end)");
}

// A small message may take 2 s; a start-up message that is still incomplete after 3 s closes the connection.
TEST(LargeValue, ReadsASlowStartupMessage) {
    play({}, R"(
        a send hex:000000
        a wait 1600
        a send hex:2100030000757365720078006461746162617365007800 hex:00000000000000
        a expect auth_ok)");
}

// A query was discarded if its client had ended its input and was slow to read the responses before it.
TEST(LargeValues, RespondsToAQueryOfAHalfClosedClientThatReadsSlowly) {
    play({}, R"(
        a send startup read:1 read:2 write:3 half_close
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.2 expect startup
        m1.2 send auth_ok
        m1.2 expect query:id=2
        m1.2 send large:60000
        m1.2 wait 50
        m1.1 send large:60000
        a expect large:60000 ready large:60000 ready
        m1.2 expect query:id=3
        m1.2 send row:v
        a expect row:v ready end)");
}

}  // namespace
