// Hot restart: a successor takes over from a running process. scenario.h describes the scenario language.
#include <gtest/gtest.h>

#include <string>

#include "scenario.h"

namespace {

ProxySetup hot_restart_setup(int descriptors = 1024) {
    ProxySetup setup;
    setup.endpoint_count = 2;
    setup.descriptors = descriptors;
    setup.inherits_listening_socket = true;
    return setup;
}

std::string idle_clients(int count) {
    std::string lines;
    for (int i = 0; i < count; ++i) {
        const auto client = "c" + std::to_string(i);
        lines += client + " send startup empty\n" + client + " expect auth_ok ready empty ready\n";
    }
    return lines;
}

TEST(HotRestart, SuccessorTakesOverExclusionsAndClients) {
    play(hot_restart_setup(), R"(
        a send startup read:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        o1 send request:POST:/api/exclude?id=m1
        o1 expect status:200
        proxy start_successor
        n1 send request:GET:/api/telemetry
        n1 expect status:200 body:"pool_ejected":1,"pool_size":2
        n2 send request:GET:/api/ready
        n2 expect status:200
        o2 send request:POST:/api/exclude?id=m2
        o2 expect status:200
        n3 send request:GET:/api/telemetry
        n3 expect status:200 body:"pool_ejected":2
        n4 send request:POST:/api/include?id=m2
        n4 expect status:200
        o3 send request:GET:/api/telemetry
        o3 expect status:200 body:"pool_ejected":1
        proxy stop_predecessor
        b send startup empty
        b expect auth_ok ready empty ready
        m1.1 send row:v
        a expect row:v ready end
        proxy wait stopped
        proxy kill
        b send read:2
        m2.1 expect startup
        m2.1 send auth_ok
        m2.1 expect query:id=2
        m2.1 send row:w
        b expect row:w ready)");
}

// During the handover both processes together keep within the limits of one; idle clients are closed first.
TEST(HotRestart, PredecessorHalvesItsLimitsAndSuccessorSurvivesItsCrash) {
    play(hot_restart_setup(128), idle_clients(40) + R"(
        proxy start_successor
        n1 send request:GET:/api/ready
        n1 expect status:200
        c0 expect end
        c39 send empty
        c39 expect empty ready
        proxy kill
        c39 expect end
        b send startup read:1
        b expect auth_ok ready)");
}

// A new process whose handover took long put the list of its deploy file over the newer one from discovery,
// and endpoints that had left got requests without an end.
TEST(HotRestart, SuccessorKeepsAListThatArrivesDuringTheHandover) {
    auto setup = hot_restart_setup(128);
    setup.settings["discovery"] = "pushed";
    std::string busy_clients;
    for (int i = 0; i < 30; ++i) {
        const auto client = "c" + std::to_string(i);
        busy_clients +=
            client + " send startup read:" + std::to_string(i) + "\n" + client + " expect auth_ok ready\n";
    }
    play(setup,
         "d.1 expect poll:after=1\nd.1 send list:1:changes:\nd.1 expect poll:after=1\n" + busy_clients + R"(
        proxy launch_successor
        d.2 expect poll:after=1
        d.2 send list:2:changes:m1=terminated
        d.2 expect poll:after=2
        proxy wait successor
        n1 send request:GET:/api/telemetry
        n1 expect status:200 body:"pool_size":1)");
}

ProxySetup setup_with_sessions() {
    auto setup = hot_restart_setup();
    setup.settings["specifics"] = {{"class-read", {"causal", "mutate"}}, {"write-marks", "kept"}};
    return setup;
}

// A session read at the new process a value before its own write, which the old process had acknowledged.
TEST(HotRestart, ReportsSessionWritesToTheOtherProcess) {
    play(setup_with_sessions(), R"(
        u send line:{"do":"hello","sessions":true}
        u expect line:"complete":true line:welcome
        u send line:{"do":"session_writes","complete":true}
        a send startup write:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send row:v
        a expect row:v ready
        u expect line:"wrote"
        u send line:{"do":"session_writes?"}
        u expect line:"complete":true
        u2 send line:{"do":"hello","sessions":true}
        u2 expect line:"complete":false line:welcome
        u expect line:"complete":false
        u2 close
        u expect line:"complete":true)");
}

// A CancelRequest with the key of a session of the other process was ignored.
TEST(HotRestart, PassesACancelRequestOnToTheOtherProcess) {
    play(hot_restart_setup(), R"(
        u send line:{"do":"hello","sessions":true}
        u expect line:"complete":true line:welcome
        a send hex:0000001004d2162e0000006300000001
        a expect end
        u expect line:{"do":"cancel","process":99,"secret":1})");
}

// A process of an earlier version would close the connection at a message that it does not know.
TEST(HotRestart, SendsNoSessionWritesToAProcessThatDoesNotKnowThem) {
    play(setup_with_sessions(), R"(
        u send line:{"do":"hello"}
        u expect line:welcome
        a send startup write:1
        a expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=1
        m1.1 send row:v
        a expect row:v ready
        o send request:POST:/api/exclude?id=m2
        u expect line:"exclude")");
}

// The hot restart socket that a crashed process leaves behind must not keep the next process from starting.
TEST(HotRestart, ReplacesTheSocketOfACrashedProcess) {
    play(hot_restart_setup(128), R"(
        proxy kill
        b send startup empty
        b expect auth_ok ready empty ready
        proxy start_successor
        n1 send request:GET:/api/ready
        n1 expect status:200)");
}

}  // namespace
