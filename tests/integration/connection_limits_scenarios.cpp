// Limits of client connections, and who makes room. The scenarios' language is described in scenario.h.
#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "scenario.h"

namespace {

// 117 descriptors leave 36 to clients.
ProxySetup few_descriptors() {
    ProxySetup setup;
    setup.descriptors = 117;
    return setup;
}

// The lines that `line_of` gives for clients c0, c1 and so on.
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

// Idle clients must not use up all descriptors.
TEST(ConnectionLimits, AnIdleClientMakesRoomForANewOne) {
    play(few_descriptors(), for_clients(60, [](const auto& client) {
                                return client + " send startup\n" + client + " expect up ready";
                            }) + R"(
        c0 expect end
        c59 send empty
        c59 expect empty ready)");
}

// Many silent clients must not use up the share of all clients.
TEST(ConnectionLimits, SilentClientsMakeRoomAndActiveOnesDoNot) {
    play(few_descriptors(),
         R"(
        a send startup empty
        a expect up ready empty ready
)" + for_clients(35, [](const auto& client) { return client + " send hex:"; }) +
             R"(
        a wait 100
        x send startup empty
        x expect up ready empty ready
        a send empty
        a expect empty ready)");
}

TEST(ConnectionLimits, WhereAllAreBusyOneMoreIsRejectedWithRetryAfter) {
    play(few_descriptors(), busy_clients() + R"(
        c35 expect up ready
        x send startup read:99
        x expect up ready error:53300:1000 ready end)");
}

// Clients that ask once and keep their connection must not use up the share of all clients.
TEST(ConnectionLimits, TheOldestOfManyIdleConnectionsAreClosed) {
    play(few_descriptors(), for_clients(20, [](const auto& client) {
                                return client + " send startup empty\n" + client +
                                       " expect up ready empty ready";
                            }) + R"(
        c0 expect end
        c7 expect end
        c19 send empty
        c19 expect empty ready)");
}

// The answer is ready but not yet written: closing its connection in the same iteration, to make room, would
// lose it.
TEST(ConnectionLimits, AClientWhoseAnswerIsBeingWrittenMakesNoRoom) {
    play(few_descriptors(), busy_clients() + R"(
        c35 expect up ready
        m1.1 expect startup
        m1.1 send up
        m1.1 expect query:id=0
        c0 expect up ready
        m1.1 send row:v
        x send startup
        c0 expect row:v ready)");
}

}  // namespace
