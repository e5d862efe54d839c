// A new process takes over from a running one. The scenarios' language is described in scenario.h.
#include <gtest/gtest.h>

#include <string>

#include "scenario.h"

namespace {

ProxySetup restartable(int descriptors = 1024) {
    ProxySetup setup;
    setup.members = 2;
    setup.descriptors = descriptors;
    setup.inherits_listening_socket = true;
    return setup;
}

std::string idle_clients(int count) {
    std::string lines;
    for (int i = 0; i < count; ++i) {
        const auto client = "c" + std::to_string(i);
        lines += client + " send startup empty\n" + client + " expect up ready empty ready\n";
    }
    return lines;
}

TEST(HotRestart, TheSuccessorTakesOverExclusionsAndClientsAreServedOn) {
    play(restartable(), R"(
        a send startup read:1
        a expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=1
        o1 send call:POST:/api/exclude?id=m1
        o1 expect status:200
        proxy upgrade
        n1 send call:GET:/api/telemetry
        n1 expect status:200 says:"pool_ejected":1,"pool_size":2
        n2 send call:GET:/api/ready
        n2 expect status:200
        o2 send call:POST:/api/exclude?id=m2
        o2 expect status:200
        n3 send call:GET:/api/telemetry
        n3 expect status:200 says:"pool_ejected":2
        n4 send call:POST:/api/include?id=m2
        n4 expect status:200
        o3 send call:GET:/api/telemetry
        o3 expect status:200 says:"pool_ejected":1
        proxy stop
        b send startup empty
        b expect up ready empty ready
        m1.1 send row:v
        a expect row:v ready end
        proxy wait over
        proxy die
        b send read:2
        m2.1 expect startup
        m2.1 send up
        m2.1 expect query:id=2
        m2.1 send row:w
        b expect row:w ready)");
}

// Both processes together keep within one process's limits; idle connections are closed first.
TEST(HotRestart, TheOldProcessHalvesItsShareAndTheNewOneSurvivesItsCrash) {
    play(restartable(128), idle_clients(40) + R"(
        proxy upgrade
        n1 send call:GET:/api/ready
        n1 expect status:200
        c0 expect end
        c39 send empty
        c39 expect empty ready
        proxy die
        c39 expect end
        b send startup read:1
        b expect up ready)");
}

// The socket file of a crashed process must not keep the next one from starting.
TEST(HotRestart, AnAbandonedSocketIsReplaced) {
    play(restartable(128), R"(
        proxy die
        b send startup empty
        b expect up ready empty ready
        proxy upgrade
        n1 send call:GET:/api/ready
        n1 expect status:200)");
}

}  // namespace
