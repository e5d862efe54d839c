#include "proxy_harness.h"

#include <algorithm>
#include <csignal>
#include <functional>
#include <optional>
#include <string_view>

#include "pgwire/build.h"

namespace integration {

using loopback::Peer;
using nlohmann::json;
namespace pgwire = sloestack::pgwire;

namespace {

constexpr Micros kFirstPollWindow = 1'000'000;
constexpr int kTextType = 25;  // PostgreSQL's type id of text
constexpr std::uint32_t kCancelRequestCode = 80877102;
constexpr std::uint32_t kCancelRequestBytes = 16;

std::string build(const std::function<void(pgwire::Builder&)>& add) {
    std::string bytes;
    pgwire::Builder builder(bytes);
    add(builder);
    return bytes;
}

std::string response_with(const std::string& value) {
    return build([&](auto& builder) {
        builder.row_description("data", kTextType, true)
            .data_row(value)
            .command_complete("SELECT 1")
            .ready_for_query();
    });
}

// Returns the value of a tag in a statement, up to the next comma.
std::string tag(const std::string& statement, std::string_view name) {
    const auto from = statement.find(name) + name.size();
    return statement.substr(from, statement.find(',', from) - from);
}

}  // namespace

json make_settings(const std::vector<RequestClass>& classes) {
    json class_settings = json::array();
    for (const auto& request_class : classes)
        class_settings.push_back({{"name", request_class.name},
                                  {"effect", request_class.effect},
                                  {"group", "cell"},
                                  {"worth", 1},
                                  {"memory-span-us", kIdempotencyWindow},
                                  {"promise-us", kRequestDeadline / 2},
                                  {"deadline-us", kRequestDeadline},
                                  {"late-worth", 0}});
    return {{"classes", class_settings},
            {"discovery", "on_request"},
            {"azs", {"here"}},
            {"specifics",
             {{"class-read", std::vector<std::string>(classes.size(), "eventual")},
              {"staleness-bound-us", std::vector<int>(classes.size(), 0)},
              {"progress-told", true},
              {"role-listed", "none"}}},
            {"limits",
             {{"most-tries", 5},
              {"cancel", true},
              {"connect-timeout-us", 250000},
              {"conn-idle-us", 15000000},
              {"max-retry-after-us", 1000000}}},
            {"rules", {{"cold-from", 1}, {"warm-after-us", 1}, {"fall-multiple", 3}, {"fall-us", 3000000}}}};
}

std::string startup_message() {
    return build([](auto& builder) { builder.startup_message("u", "d"); });
}

ProxyHarness::ProxyHarness(json settings, int descriptors, bool endpoints_known)
    : settings_(std::move(settings)),
      descriptors_(descriptors),
      endpoints_known_(endpoints_known),
      server_(read_config(), clock) {
    std::signal(SIGPIPE, SIG_IGN);  // as the program does
    server_.handle_signals([this] { return read_config(); });
    for (const auto& endpoint : endpoints_) entries_.push_back(make_entry(endpoint.port(), "in_service"));
}

// ---- client ----

void ProxyHarness::connect() {
    client = loopback::connect_to(server_.port());
    client.send(startup_message());
    run_until([this] { return ready_count() == 1; });
}

void ProxyHarness::send_request(const char* request_class) {
    const auto request = make_request(request_class);
    if (!client.send(request)) --request_count;  // the client has closed its side or the connection
}

std::string ProxyHarness::make_request(const char* request_class, Micros deadline) {
    ++request_count;
    const auto id = "r" + std::to_string(request_count);
    return build([&](auto& builder) {
        builder.query("SELECT data FROM facts WHERE code = 'x' /* id=" + id + ",c=" + request_class +
                      ",d=" + std::to_string(deadline / 1000) + ",k=" + id + ",cluster=0 */");
    });
}

void ProxyHarness::complete_first_request(const char* request_class) {
    send_request(request_class);
    run_until([this] { return !queries.empty(); });
    respond_to_all();
    run_until([this] { return response_count() == 1; });
}

void ProxyHarness::cancel() {
    cancelling_client_ = loopback::connect_to(server_.port());
    std::string bytes;
    for (const std::uint32_t word :
         {kCancelRequestBytes, kCancelRequestCode, cancel_key_.first, cancel_key_.second})
        for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(word >> shift));
    cancelling_client_.send(bytes);
}

// ---- endpoints ----

void ProxyHarness::respond_to_all() {
    receive();
    for (auto& [peer, id] : std::exchange(pending_queries_, {})) peer->send(response_with("v"));
}

void ProxyHarness::respond_to(const std::string& id) {
    receive();
    const auto query = std::find_if(pending_queries_.begin(), pending_queries_.end(),
                                    [&](const auto& pending) { return pending.second == id; });
    if (query == pending_queries_.end()) return;
    query->first->send(response_with(id + "!"));
    pending_queries_.erase(query);
}

void ProxyHarness::begin_responses() {
    for (auto& [peer, id] : pending_queries_)
        peer->send(build([](auto& builder) { builder.row_description("data", kTextType, true); }));
}

void ProxyHarness::reset_endpoints() {
    for (auto& endpoint : endpoints_)
        for (auto& peer : endpoint.peers) peer.reset();
    pending_queries_.clear();
}

void ProxyHarness::drain_endpoint() {
    draining_endpoint = queries.empty() ? 0 : queries.back().endpoint;
    entries_[static_cast<std::size_t>(draining_endpoint)]["phase"] = "terminating";
    ++list_revision_;
    send_endpoint_list();
}

// Reads the proxy's start-up messages and queries on a connection to endpoint `number`.
void ProxyHarness::receive_from_endpoint(int number, Peer& peer) {
    if (peer.ended || !peer.is_open()) {
        pending_queries_.erase(&peer);
        return;
    }
    if (!started_peers_.count(&peer)) {
        const auto message = peer.received.empty() ? std::nullopt : pgwire::next_startup(peer.received);
        if (!message || !endpoints_accept_startup) return;
        peer.received.erase(0, message->size);
        started_peers_.insert(&peer);
        peer.send(build([](auto& builder) {
            builder.authentication_ok().parameter_status("role", "replica").ready_for_query();
        }));
    }
    while (const auto message = pgwire::next_message(peer.received)) {
        if (message->type == 'Q') receive_query(number, peer, *message);
        peer.received.erase(0, message->size);
    }
}

void ProxyHarness::receive_query(int endpoint, Peer& peer, const pgwire::Message& message) {
    const std::string statement(pgwire::FieldReader(message.body).text());
    const Micros time_left = std::stol(tag(statement, ",d=")) * 1000;
    queries.push_back({endpoint, tag(statement, "id="), clock.now(), time_left});
    pending_queries_[&peer] = queries.back().id;
}

// ---- discovery ----

void ProxyHarness::reset_discovery() {
    for (auto& peer : discovery_.peers) peer.reset();
}

void ProxyHarness::establish_long_poll() {
    clock.advance(kFirstPollWindow);
    run_until([this] {
        serve_discovery();
        return long_poll_pending();
    });
}

// A long poll waits for a change; a poll with `wait_ms=1` asks for a response at once.
bool ProxyHarness::long_poll_pending() const {
    return std::any_of(discovery_.peers.begin(), discovery_.peers.end(), [](const Peer& peer) {
        return peer.received.find("wait_ms=") != std::string::npos &&
               peer.received.find("wait_ms=1 ") == std::string::npos;
    });
}

// Responds to long polls once the list has changed, and to all other polls at once.
void ProxyHarness::serve_discovery() {
    if (!long_poll_pending() || sent_revision_ < list_revision_) send_endpoint_list();
}

void ProxyHarness::send_endpoint_list() {
    const json list = {{"revision", list_revision_}, {"complete", false}, {"members", entries_}};
    const auto body = list.dump();
    for (auto& peer : discovery_.peers) {
        if (peer.received.find("\r\n\r\n") == std::string::npos) continue;
        peer.received.clear();
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        sent_revision_ = list_revision_;
    }
}

json ProxyHarness::make_entry(std::uint16_t port, const char* phase) {
    return {{"id", "s-" + std::to_string(port)},
            {"host_port", "127.0.0.1:" + std::to_string(port)},
            {"locality", "here"},
            {"cell", 0},
            {"phase", phase},
            {"size", 1.0},
            {"up_since_ms", 0}};
}

sloestack::config::Config ProxyHarness::read_config() {
    json known = {{"revision", 1}, {"complete", true}, {"members", json::array()}};
    for (const auto& endpoint : endpoints_)
        known["members"].push_back(make_entry(endpoint.port(), "in_service"));
    if (!endpoints_known_) known = nullptr;
    const json file = {{"name", "t"},
                       {"listen", "127.0.0.1:0"},
                       {"discovery", "127.0.0.1:" + std::to_string(discovery_.port())},
                       {"seed", "7"},
                       {"limits", {{"sockets", descriptors_}, {"memory_mb", 64}}},
                       {"known", known},
                       {"settings", settings_}};
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
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        endpoints_[i].receive();
        for (auto& peer : endpoints_[i].peers) receive_from_endpoint(static_cast<int>(i), peer);
    }
    discovery_.receive();
    client.read();
}

// ---- observations ----

// Also stores the client's BackendKeyData, for cancel requests.
int ProxyHarness::response_count() {
    client.read();
    int responses = 0;
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
            if (message->type == 'Z' && response_begun) {
                ++responses;
                response_begun = false;
            }
            unread.remove_prefix(message->size);
        }
    } catch (const pgwire::ProtocolError&) {
    }
    return responses;
}

int ProxyHarness::ready_count() {
    response_count();
    return static_cast<int>(std::count(client.received.begin(), client.received.end(), 'Z'));
}

}  // namespace integration
