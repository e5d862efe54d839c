// Statements that have to wait for memory because others hold it.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "proxy_process.h"

namespace {

using namespace process_test;
using loopback::Peer;

constexpr Micros kDeadline = 2'000 * kMillisecond;
constexpr Micros kShortDeadline = 400 * kMillisecond;
constexpr Micros kAnswerGrace = 500 * kMillisecond;
constexpr std::size_t kLargeStatement = std::size_t{8} * 1024 * 1024;
constexpr std::size_t kOrdinaryStatement = std::size_t{128} * 1024;

// A client that writes one statement as fast as the proxy reads it.
struct Writer {
    Writer(ProxyProcess& proxy, const std::string& id, std::size_t size, Micros deadline)
        : peer(proxy.connect()),
          unsent(integration::startup_message() +
                 integration::write_message(id, "keyed_write", deadline, size)) {}
    void write_more() { unsent.erase(0, peer.send_part(unsent)); }

    Peer peer;
    std::string unsent;
};

bool is_answered(Writer& writer) {
    writer.write_more();
    return has_row(writer.peer) || has_error(writer.peer, "");
}

// Endpoints do not respond, and statements of `size` bytes for them hold the memory.
std::vector<Writer> fill_memory(ProxyProcess& proxy, int count, std::size_t size) {
    proxy.open_idle_endpoint_connections();
    proxy.endpoints_hang = true;
    std::vector<Writer> writers;
    for (int i = 0; i < count; ++i) writers.emplace_back(proxy, "f" + std::to_string(i), size, kDeadline);
    const auto write_all = [&] {
        for (auto& writer : writers) writer.write_more();
        return false;
    };
    proxy.run_until(write_all, 200 * kMillisecond);
    return writers;
}

void expect_answer_in_time(ProxyProcess& proxy, std::size_t size) {
    Writer late(proxy, "late", size, kShortDeadline);
    EXPECT_TRUE(proxy.run_until([&] { return is_answered(late); }, kShortDeadline + kAnswerGrace));
}

// A few large statements to a hanging endpoint held all memory until their deadlines, and smaller ones behind
// them were answered seconds after their own.
TEST(StatementMemory, LargeStatementsToAHangingEndpointDelayNoOtherAnswer) {
    ProxyProcess proxy;
    const auto large = fill_memory(proxy, 4, kLargeStatement);
    expect_answer_in_time(proxy, kOrdinaryStatement);
}

// The same for a statement that is as large as those that hold the memory.
TEST(StatementMemory, AStatementThatFindsNoMemoryIsRejectedInTime) {
    ProxyProcess proxy;
    const auto large = fill_memory(proxy, 4, kLargeStatement);
    expect_answer_in_time(proxy, kLargeStatement);
}

}  // namespace
