// SIGHUP reloads the deploy file. scenario.h describes the scenario language.
#include <gtest/gtest.h>

#include "scenario.h"

namespace {

// EDGE_DISCOVERY still has the old address and must not override the reloaded file.
TEST(ConfigReload, ChangesTheDiscoveryAddressAndKeepsRequestsRunning) {
    play({}, R"(
        d.1 expect poll:after=1
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        proxy reload d2
        d2.1 expect poll:complete
        d.1 expect end
        d2.1 send list:7:full:m1=in_service
        d2.1 expect poll:after=7
        m1.1 send row:v
        a expect row:v ready)");
}

TEST(ConfigReload, IgnoresAnInvalidOrUnchangedFile) {
    play({}, R"(
        d.1 expect poll:after=1
        proxy reload invalid
        a send startup empty
        a expect auth_ok ready empty ready
        d.1 send list:5:changes:
        d.1 expect poll:after=5
        proxy reload unchanged
        b send startup empty
        b expect auth_ok ready empty ready
        d.1 send list:6:changes:
        d.1 expect poll:after=6)");
}

}  // namespace
