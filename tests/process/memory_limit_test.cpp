// Crowds of clients against a process with the least memory that deployments have.
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "proxy_process.h"

namespace {

using namespace process_test;
using loopback::Peer;

constexpr int kMemoryMb = 32;
constexpr int kDescriptors = 1024;
constexpr int kClients = 400;
constexpr int kRequests = 3;  // of each client
constexpr Micros kDeadline = 2'000 * kMillisecond;
constexpr Micros kDuration = 1'500 * kMillisecond;
constexpr std::size_t kStatement = std::size_t{60} * 1024;

// A client that sends `bytes` as fast as the proxy reads them and reads no responses.
struct Sender {
    Peer peer;
    std::string_view unsent;
};

class MemoryLimit : public ::testing::Test {
protected:
    void SetUp() override {
#ifdef __SANITIZE_ADDRESS__
        GTEST_SKIP() << "the sanitizers need more memory than the program";
#endif
    }

    static ProcessOptions options() {
        ProcessOptions out;
        out.memory_mb = kMemoryMb;
        out.descriptors = kDescriptors;
        return out;
    }

    // Each of a crowd of clients sends some requests at once, which `make_request` makes for an id.
    static void run_crowd(ProxyProcess& proxy,
                          const std::function<std::string(const std::string&)>& make_request) {
        std::vector<std::string> bytes(kClients, integration::startup_message());
        std::vector<Sender> crowd;
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            for (int request = 0; request < kRequests; ++request)
                bytes[i] += make_request(std::to_string(i) + "-" + std::to_string(request));
            crowd.push_back({proxy.connect(), bytes[i]});
        }
        proxy.run_until(
            [&] {
                for (auto& client : crowd) client.unsent.remove_prefix(client.peer.send_part(client.unsent));
                return false;
            },
            kDuration);
    }

    static void expect_within_limit(const ProxyProcess& proxy) {
        EXPECT_GT(proxy.peak_memory_kb(), 0);
        EXPECT_LT(proxy.peak_memory_kb(), kMemoryMb * 1024);
    }
};

// Statements below 72 KiB were read without a limit for all of them together.
TEST_F(MemoryLimit, HoldsForACrowdThatPipelinesStatementsToHangingEndpoints) {
    ProxyProcess proxy(options());
    proxy.open_idle_endpoint_connections();
    proxy.endpoints_hang = true;
    run_crowd(proxy, [](const std::string& id) {
        return integration::write_message(id, "keyed_write", kDeadline, kStatement);
    });
    expect_within_limit(proxy);
}

// The same where each statement ends with thousands of short fields, for reads.
TEST_F(MemoryLimit, HoldsForACrowdThatPipelinesStatementsOfShortFields) {
    ProxyProcess proxy(options());
    proxy.open_idle_endpoint_connections();
    proxy.endpoints_hang = true;
    std::string fields;
    while (fields.size() < kStatement) fields += ",a1=1";
    run_crowd(proxy, [&](const std::string& id) {
        return integration::request_message(id + fields, "read", kDeadline);
    });
    expect_within_limit(proxy);
}

}  // namespace
