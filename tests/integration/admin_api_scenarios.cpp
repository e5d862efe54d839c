// The calls of operators. The scenarios' language is described in scenario.h.
#include <gtest/gtest.h>

#include "scenario.h"

namespace {

TEST(AdminApi, IsReadyWithAListAndNotBefore) {
    play(no_known_members(), R"(
        o send call:GET:/api/ready
        o expect status:503
        d.1 expect call:?after=1
        d.1 send list:2:full:m1=in_service
        d.1 expect call:?after=2
        o2 send call:GET:/api/ready
        o2 expect status:200)");
}

TEST(AdminApi, InvalidCallsAreRejectedWithTheReason) {
    play({}, R"(
        o1 send call:GET:/api/nothing
        o1 expect status:404
        o2 send call:POST:/api/ready
        o2 expect status:405
        o3 send call:GET:/api/exclude?id=m1
        o3 expect status:405
        o4 send hex:00ff
        o4 expect status:400
        o5 send call:POST:/api/exclude
        o5 expect status:400
        o6 send call:POST:/api/exclude?id=nobody
        o6 expect status:404
        o7 send call:POST:/api/include?id=nobody
        o7 expect status:404)");
}

// An incomplete call occupies one of few connections: it must not keep it, nor delay other calls.
TEST(AdminApi, IncompleteCallsDelayNobodyAndAreClosed) {
    play({}, R"(
        o1 send part:GET
        o2 send part:GET
        o3 send part:GET
        o4 send part:GET
        o5 send part:GET
        o6 send part:GET
        o7 send part:GET
        o8 send part:GET
        o9 send part:GET
        o send call:GET:/api/ready
        o expect status:200
        o1 expect end
        o9 expect status:408)");
}

TEST(AdminApi, TelemetryHoldsEveryClassAndCountsAnswers) {
    play({}, R"(
        o1 send call:GET:/api/telemetry
        o1 expect status:200 says:"view":{"errors":0,"ok":0,"shed":0,"tries":0}
        a send startup read:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        o2 send call:GET:/api/telemetry
        o2 expect status:200 says:"active":1,"pool_ejected":0,"pool_size":1
        m1.1 send row:v
        a expect row:v ready
        a send sql:SELECT_'x'_/*_id=2,c=view,d=1,cluster=5_*/
        a expect error:57P03 ready
        o3 send call:GET:/api/telemetry
        o3 expect status:200 says:"view":{"errors":0,"ok":1,"shed":1,"tries":1}
        o4 send call:GET:/api/telemetry
        o4 expect status:200 says:"active":0)");
}

// An excluded member gets nothing until it is included again, whatever discovery reports meanwhile.
TEST(AdminApi, AnExcludedMemberStaysOutUntilItIsIncluded) {
    play(two_members(), R"(
        d.1 expect call:?after=1
        o1 send call:POST:/api/exclude?id=m1
        o1 expect status:200
        o2 send call:POST:/api/exclude?id=m1
        o2 expect status:200
        o3 send call:GET:/api/telemetry
        o3 expect status:200 says:"pool_ejected":1,"pool_size":2
        d.1 send list:2:full:m1=in_service,m2=in_service
        d.1 expect call:?after=2
        a send startup read:1
        a expect up ready
        m2.1 expect startup
        m2.1 send up
        m2.1 expect query:id=1
        m2.1 send row:v
        a expect row:v ready
        o4 send call:POST:/api/include?id=m1
        o4 expect status:200
        o5 send call:POST:/api/exclude?id=m2
        o5 expect status:200
        a send read:2
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=2
        m1.1 send row:w
        a expect row:w ready)");
}

}  // namespace
