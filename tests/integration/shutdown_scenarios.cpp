// SIGTERM: what was accepted is answered before the process ends. The scenarios' language is described in
// scenario.h.
#include <gtest/gtest.h>

#include "scenario.h"

namespace {

TEST(Shutdown, APipelinedQueryIsStillAnswered) {
    play({}, R"(
        a send startup read:1 read:2
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        proxy close
        m1.1 send row:v
        a expect row:v ready
        m1.1 expect query:id=2
        m1.1 send row:w
        a expect row:w ready end
        proxy wait over)");
}

TEST(Shutdown, AcceptedRequestsAreFinishedAndLateClientsServed) {
    play({}, R"(
        a send startup read:1
        b send startup
        b expect up ready
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        proxy close
        c send startup read:2
        b send empty
        c expect up ready
        b expect empty ready
        m1.2 expect startup
        m1.2 send up
        m1.2 expect query:id=2
        m1.2 send row:late
        c expect row:late ready end
        m1.1 send row:v
        a expect row:v ready end
        b expect end
        proxy wait over)");
}

// A request that is unanswered when the process is killed would be lost, so it fails shortly before.
TEST(Shutdown, UnansweredRequestsFailBeforeTheProcessEnds) {
    play({}, R"(
        a send startup write:1,d=60000
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        proxy close
        a expect error:57P01 ready end
        proxy wait over)");
}

}  // namespace
