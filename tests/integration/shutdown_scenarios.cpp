// After SIGTERM, accepted requests get their response before the process ends. scenario.h describes the
// scenario language.
#include <gtest/gtest.h>

#include "scenario.h"

namespace {

TEST(Shutdown, RespondsToPipelinedQueries) {
    play({}, R"(
        a send startup read:1 read:2
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        proxy sigterm
        m1.1 send row:v
        a expect row:v ready
        m1.1 expect query:id=2
        m1.1 send row:w
        a expect row:w ready end
        proxy wait stopped)");
}

TEST(Shutdown, FinishesAcceptedRequestsAndServesLateClients) {
    play({}, R"(
        a send startup read:1
        b send startup
        b expect auth_ok ready
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        proxy sigterm
        c send startup read:2
        b send empty
        c expect auth_ok ready
        b expect empty ready
        m1.2 expect startup
        m1.2 send auth_ok
        m1.2 expect query:id=2
        m1.2 send row:late
        c expect row:late ready end
        m1.1 send row:v
        a expect row:v ready end
        b expect end
        proxy wait stopped)");
}

// A request that is still open when the platform kills the process would get no response, so it fails shortly
// before.
TEST(Shutdown, FailsOpenRequestsBeforeTheProcessIsKilled) {
    play({}, R"(
        a send startup write:1,d=60000
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        proxy sigterm
        a expect error:57P01 ready end
        proxy wait stopped)");
}

}  // namespace
