// Limits on client connections, and which clients are closed to accept others. scenario.h describes the
// scenario language.
#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "scenario.h"

namespace {

// Of 117 descriptors, 36 are for clients.
ProxySetup few_descriptors() {
    ProxySetup setup;
    setup.descriptors = 117;
    return setup;
}

// Returns the lines that `line_of` returns for clients c0, c1 and so on.
std::string for_clients(int count, const std::function<std::string(const std::string& client)>& line_of) {
    std::string lines;
    for (int i = 0; i < count; ++i) lines += line_of("c" + std::to_string(i)) + "\n";
    return lines;
}

std::string busy_clients() {
    std::string lines;
    for (int i = 0; i < 36; ++i) {
        const auto number = std::to_string(i);
        lines += "c" + number + " send startup read:" + number + "\n";
    }
    return lines;
}

// Idle clients must not occupy all descriptors.
TEST(ConnectionLimits, ClosesAnIdleClientToAcceptANewOne) {
    play(few_descriptors(), for_clients(60, [](const auto& client) {
                                return client + " send startup\n" + client + " expect auth_ok ready";
                            }) + R"(
        c0 expect end
        c59 send empty
        c59 expect empty ready)");
}

// Clients that connect and send nothing must not occupy the descriptors of all other clients.
TEST(ConnectionLimits, ClosesSilentClientsAndKeepsActiveOnes) {
    play(few_descriptors(),
         R"(
        a send startup empty
        a expect auth_ok ready empty ready
)" + for_clients(35, [](const auto& client) { return client + " send hex:"; }) +
             R"(
        a wait 100
        x send startup empty
        x expect auth_ok ready empty ready
        a send empty
        a expect empty ready)");
}

TEST(ConnectionLimits, RejectsWithRetryAfterWhenAllClientsAreBusy) {
    play(few_descriptors(), busy_clients() + R"(
        c35 expect auth_ok ready
        x send startup read:99
        x expect auth_ok ready error:53300:1000 ready end)");
}

// Clients that send one request and keep their connection must not occupy the descriptors of all other
// clients.
TEST(ConnectionLimits, ClosesTheOldestOfManyIdleClients) {
    play(few_descriptors(), for_clients(20, [](const auto& client) {
                                return client + " send startup empty\n" + client +
                                       " expect auth_ok ready empty ready";
                            }) + R"(
        c0 expect end
        c7 expect end
        c19 send empty
        c19 expect empty ready)");
}

// The response has arrived at the proxy but is not written yet when another client connects: closing c0's
// connection in that event-loop iteration would lose the response.
TEST(ConnectionLimits, KeepsAClientWhoseResponseIsBeingWritten) {
    play(few_descriptors(), busy_clients() + R"(
        c35 expect auth_ok ready
        m1.1 expect startup
        m1.1 send auth_ok
        m1.1 expect query:id=0
        c0 expect auth_ok ready
        m1.1 send row:v
        x send startup
        c0 expect row:v ready)");
}

}  // namespace
