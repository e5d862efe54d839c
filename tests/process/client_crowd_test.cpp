// Crowds of clients that use up all descriptors and send no request.
#include <gtest/gtest.h>

#include "proxy_process.h"

namespace {

using namespace process_test;
using loopback::Peer;

constexpr int kDescriptors = 64;
constexpr Micros kSettleTime = 300 * kMillisecond;

void expect_new_client_is_served(ProxyProcess& proxy, Micros limit) {
    auto client = proxy.connect_and_request("new", 2'000 * kMillisecond);
    EXPECT_TRUE(proxy.run_until([&] { return has_row(client); }, limit));
}

// More clients than descriptors connect at once, so that none of them counts as idle yet.
std::vector<Peer> connect_crowd(ProxyProcess& proxy, const std::string& bytes) {
    std::vector<Peer> crowd;
    for (int i = 0; i < session_limit(kDescriptors) + 10; ++i) {
        crowd.push_back(proxy.connect());
        crowd.back().send(bytes);
    }
    proxy.run_for(20 * kMillisecond);
    return crowd;
}

ProcessOptions few_descriptors() {
    ProcessOptions options;
    options.descriptors = kDescriptors;
    return options;
}

TEST(ClientCrowd, ConnectionsThatSendNothingDoNotKeepANewClientOut) {
    ProxyProcess proxy(few_descriptors());
    proxy.run_for(kSettleTime);
    const auto crowd = connect_crowd(proxy, "");
    expect_new_client_is_served(proxy, 500 * kMillisecond);
}

TEST(ClientCrowd, SessionsWithoutAQueryDoNotKeepANewClientOut) {
    ProxyProcess proxy(few_descriptors());
    proxy.run_for(kSettleTime);
    const auto crowd = connect_crowd(proxy, integration::startup_message());
    expect_new_client_is_served(proxy, 500 * kMillisecond);
}

TEST(ClientCrowd, SessionsWithAPartOfAMessageDoNotKeepANewClientOut) {
    ProxyProcess proxy(few_descriptors());
    proxy.run_for(kSettleTime);
    const auto request = integration::request_message("part", "read", integration::kRequestDeadline);
    const auto crowd = connect_crowd(proxy, integration::startup_message() + request.substr(0, 20));
    expect_new_client_is_served(proxy, 1'000 * kMillisecond);
}

TEST(ClientCrowd, ConnectionsWithAPartOfAStartupMessageDoNotKeepANewClientOut) {
    ProxyProcess proxy(few_descriptors());
    proxy.run_for(kSettleTime);
    const auto crowd = connect_crowd(proxy, integration::startup_message().substr(0, 6));
    expect_new_client_is_served(proxy, 1'000 * kMillisecond);
}

}  // namespace
