// SIGHUP: the deploy file is read again. The scenarios' language is described in scenario.h.
#include <gtest/gtest.h>

#include "scenario.h"

namespace {

// EDGE_DISCOVERY still names the old address and must not override the file.
TEST(ConfigReload, DiscoveryMovesAndNothingElseEnds) {
    play({}, R"(
        d.1 expect call:after=1
        a send startup read:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        proxy reload d2
        d2.1 expect call:whole
        d.1 expect end
        d2.1 send list:7:full:m1=in_service
        d2.1 expect call:after=7
        m1.1 send row:v
        a expect row:v ready)");
}

TEST(ConfigReload, AnUnusableOrUnchangedFileChangesNothing) {
    play({}, R"(
        d.1 expect call:after=1
        proxy reload nonsense
        a send startup empty
        a expect up ready empty ready
        d.1 send list:5:changes:
        d.1 expect call:after=5
        proxy reload same
        b send startup empty
        b expect up ready empty ready
        d.1 send list:6:changes:
        d.1 expect call:after=6)");
}

}  // namespace
