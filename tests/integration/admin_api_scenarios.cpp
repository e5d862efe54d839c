// Requests of operators to the admin server. scenario.h describes the scenario language.
#include <gtest/gtest.h>

#include "scenario.h"

namespace {

TEST(AdminApi, ReportsReadyOnlyAfterTheFirstEndpointList) {
    play(no_known_endpoints(), R"(
        o send request:GET:/api/ready
        o expect status:503
        d.1 expect poll:?after=1
        d.1 send list:2:full:m1=in_service
        d.1 expect poll:?after=2
        o2 send request:GET:/api/ready
        o2 expect status:200)");
}

TEST(AdminApi, RejectsInvalidRequestsWithTheMatchingStatus) {
    play({}, R"(
        o1 send request:GET:/api/nothing
        o1 expect status:404
        o2 send request:POST:/api/ready
        o2 expect status:405
        o3 send request:GET:/api/exclude?id=m1
        o3 expect status:405
        o4 send hex:00ff
        o4 expect status:400
        o5 send request:POST:/api/exclude
        o5 expect status:400
        o6 send request:POST:/api/exclude?id=nobody
        o6 expect status:404
        o7 send request:POST:/api/include?id=nobody
        o7 expect status:404)");
}

// The admin server accepts only a few connections: incomplete requests must neither keep them nor delay other
// requests.
TEST(AdminApi, ClosesIncompleteRequestsAndServesOthersMeanwhile) {
    play({}, R"(
        o1 send partial:GET
        o2 send partial:GET
        o3 send partial:GET
        o4 send partial:GET
        o5 send partial:GET
        o6 send partial:GET
        o7 send partial:GET
        o8 send partial:GET
        o9 send partial:GET
        o send request:GET:/api/ready
        o expect status:200
        o1 expect end
        o9 expect status:408)");
}

TEST(AdminApi, TelemetryCountsTheResponsesOfEachClass) {
    play({}, R"(
        o1 send request:GET:/api/telemetry
        o1 expect status:200 body:"view":{"errors":0,"ok":0,"shed":0,"tries":0}
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        o2 send request:GET:/api/telemetry
        o2 expect status:200 body:"active":1,"pool_ejected":0,"pool_size":1
        m1.1 send row:v
        a expect row:v ready
        a send sql:SELECT_'x'_/*_id=2,c=view,d=1,cluster=5_*/
        a expect error:57P03 ready
        o3 send request:GET:/api/telemetry
        o3 expect status:200 body:"view":{"errors":0,"ok":1,"shed":1,"tries":1}
        o4 send request:GET:/api/telemetry
        o4 expect status:200 body:"active":0)");
}

// An excluded endpoint gets no requests until it is included again, even if discovery lists it as in service.
TEST(AdminApi, ExclusionLastsUntilTheEndpointIsIncluded) {
    play(two_endpoints(), R"(
        d.1 expect poll:?after=1
        o1 send request:POST:/api/exclude?id=m1
        o1 expect status:200
        o2 send request:POST:/api/exclude?id=m1
        o2 expect status:200
        o3 send request:GET:/api/telemetry
        o3 expect status:200 body:"pool_ejected":1,"pool_size":2
        d.1 send list:2:full:m1=in_service,m2=in_service
        d.1 expect poll:?after=2
        a send startup read:1
        a expect auth_ok ready
        m2.1 expect startup
        m2.1 send auth_ok
        m2.1 expect query:id=1
        m2.1 send row:v
        a expect row:v ready
        o4 send request:POST:/api/include?id=m1
        o4 expect status:200
        o5 send request:POST:/api/exclude?id=m2
        o5 expect status:200
        a send read:2
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=2
        m1.1 send row:w
        a expect row:w ready)");
}

}  // namespace
