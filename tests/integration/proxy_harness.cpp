#include "proxy_harness.h"

#include <csignal>
#include <string_view>

namespace integration {

using loopback::Peer;
using nlohmann::json;
namespace pgwire = sloestack::pgwire;

namespace {

constexpr Micros kFirstPollWindow = 1'000'000;

}  // namespace

ProxyHarness::ProxyHarness(json settings, int descriptors, bool endpoints_known)
    : EmulatedPeers(clock),
      settings_(std::move(settings)),
      descriptors_(descriptors),
      endpoints_known_(endpoints_known),
      server_(read_config(), clock) {
    std::signal(SIGPIPE, SIG_IGN);  // as the program does
    server_.handle_signals([this] { return read_config(); });
}

// ---- client ----

void ProxyHarness::connect() {
    client = loopback::connect_to(server_.port());
    client.send(startup_message());
    run_until([this] { return count_received().ready == 1; });
}

void ProxyHarness::send_request(const char* request_class) {
    const auto request = make_request(request_class);
    if (!client.send(request)) --request_count;  // the client has closed its side or the connection
}

std::string ProxyHarness::make_request(const char* request_class, Micros deadline) {
    ++request_count;
    return request_message("r" + std::to_string(request_count), request_class, deadline);
}

void ProxyHarness::complete_first_request(const char* request_class) {
    send_request(request_class);
    run_until([this] { return !queries.empty(); });
    respond_to_all();
    run_until([this] { return response_count() == 1; });
}

void ProxyHarness::cancel() {
    cancelling_client_ = loopback::connect_to(server_.port());
    cancelling_client_.send(cancel_message(cancel_key_));
}

// ---- discovery ----

void ProxyHarness::establish_long_poll() {
    clock.advance(kFirstPollWindow);
    run_until([this] {
        serve_discovery();
        return long_poll_pending();
    });
}

sloestack::config::Config ProxyHarness::read_config() {
    const auto file = make_deploy_file(settings_, "127.0.0.1:0", descriptors_, endpoints_known_);
    return sloestack::config::parse(file, [](const char*) { return nullptr; });
}

// ---- time ----

void ProxyHarness::run_once() {
    server_.run_iteration(0);
    receive();
}

void ProxyHarness::run(int iterations) {
    for (int i = 0; i < iterations; ++i) run_once();
}

void ProxyHarness::run_for(Micros duration, Micros step) {
    for (const Time end = clock.now() + duration; clock.now() < end; clock.advance(step)) {
        run(3);
        respond_to_all();
        serve_discovery();
        run(3);
        if (server_.is_stopped()) return;
    }
}

void ProxyHarness::receive() {
    receive_from_proxy();
    client.read();
}

// ---- observations ----

// Also stores the client's BackendKeyData, for cancel requests.
ProxyHarness::ReceivedCounts ProxyHarness::count_received() {
    client.read();
    ReceivedCounts counts;
    bool response_begun = false;
    std::string_view unread = client.received;
    try {
        while (const auto message = pgwire::next_message(unread)) {
            if (message->type == 'C' || message->type == 'E') response_begun = true;
            if (message->type == 'K') {
                pgwire::FieldReader fields(message->body);
                cancel_key_.first = fields.int32();
                cancel_key_.second = fields.int32();
            }
            if (message->type == 'Z') {
                ++counts.ready;
                if (std::exchange(response_begun, false)) ++counts.responses;
            }
            unread.remove_prefix(message->size);
        }
    } catch (const pgwire::ProtocolError&) {
    }
    return counts;
}

}  // namespace integration
