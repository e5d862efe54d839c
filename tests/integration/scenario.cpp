#include "scenario.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <map>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

#include "check.h"
#include "scenario_peer.h"
#include "scenario_proxy.h"
#include "scenario_words.h"
#include "socket_flow.h"

using nlohmann::json;

namespace {

// What the proxy may buffer of a response that its client does not read: the window of a session, one more
// read (kMaxReadBytes in connection.cpp), and the messages before the value.
constexpr std::uint64_t kMaxBufferedBytes = 64 * 1024 + 64 * 1024 + 1024;
constexpr auto kHangTimeout = std::chrono::seconds(60);  // ends a test that hangs
constexpr int kMaxIdleIterations = 100;  // after more iterations without a read the proxy has stopped reading
constexpr std::ptrdiff_t kMaxEarlyMessages = 200;
constexpr std::size_t kMaxExcerptBytes = 300;

class ScenarioRunner {
public:
    explicit ScenarioRunner(const ProxySetup& setup) : proxy_(setup) {}

    void run_line(const std::string& text) {
        line_ = text;
        std::istringstream in(text.substr(0, text.find('#')));
        std::string actor;
        std::string verb;
        if (!(in >> actor >> verb)) return;
        std::vector<std::string> words;
        for (std::string word; in >> word;) words.push_back(word);
        if (actor == "proxy") return run_proxy_line(verb, words.empty() ? "" : words[0]);
        if (verb == "wait" && words.at(0) != "connected") return wait_for(std::stoi(words[0]));
        run_peer_line(peer(actor), actor, verb, words);
    }

private:
    void run_proxy_line(const std::string& verb, const std::string& word) {
        if (verb == "sigterm") {
            raise(SIGTERM);
        } else if (verb == "start_successor") {
            proxy_.start_successor();
            wait_for_successor();
        } else if (verb == "launch_successor") {
            proxy_.start_successor();
        } else if (verb == "stop_predecessor") {
            proxy_.stop();
        } else if (verb == "kill") {
            proxy_.kill();
        } else if (verb == "reload") {
            proxy_.reload(word);
        } else if (verb == "wait" && word == "successor") {
            wait_for_successor();
        } else if (verb == "wait") {
            run_until([&] { return proxy_.is_stopped(); }, "the proxy to end");
        } else {
            fail("unknown verb " + verb);
        }
    }

    void wait_for_successor() {
        run_until([&] { return proxy_.is_successor_ready(); }, "the successor to be ready");
    }

    void run_peer_line(ScenarioPeer& peer, const std::string& actor, const std::string& verb,
                       const std::vector<std::string>& words) {
        if (verb == "send") {
            for (const auto& word : words) send(peer, actor, word);
        } else if (verb == "expect") {
            for (const auto& word : words) expect(peer, actor, word);
        } else if (verb == "expect_few_messages") {
            check_few_messages(peer);
        } else if (verb == "check_backpressure") {
            check_backpressure(peer, this->peer(words.at(0)));
        } else if (verb == "await_bytes") {
            wait_for_bytes(peer, std::stoul(words.at(0)));
        } else if (verb == "close") {
            peer.close(!words.empty());
        } else if (verb != "wait") {  // `wait connected`: peer() has waited
            fail("unknown verb " + verb);
        }
    }

    [[noreturn]] void fail(const std::string& reason) const {
        throw std::runtime_error("\"" + line_ + "\": " + reason);
    }

    // ---- the event loop ----
    void run_once() {
        proxy_.run_once();
        for (auto& [name, peer] : peers_) peer.write();
    }

    template <class Condition>
    void run_until(Condition condition, const std::string& awaited) {
        const auto deadline = std::chrono::steady_clock::now() + kHangTimeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline) fail("timed out waiting for " + awaited);
            run_once();
            accept_connections();
        }
    }

    void wait_for(int milliseconds) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
        run_until([&] { return std::chrono::steady_clock::now() >= end; }, "the time to pass");
    }

    void wait_for_bytes(ScenarioPeer& peer, std::size_t count) {
        const auto have_arrived = [&] {
            peer.read();
            return peer.incoming.size() >= count;
        };
        run_until(have_arrived, "the number of bytes");
    }

    // ---- connections ----
    void accept_connections() {
        for (const auto& [name, listener] : proxy_.listeners())
            for (;;) {
                const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
                if (fd < 0) break;
                // Disables Nagle's algorithm, so that what a line sends has arrived when the next line runs.
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSmallBuffer, sizeof kSmallBuffer);
                const int number = ++connection_counts_[name];
                peers_[name + "." + std::to_string(number)].fd = fd;
            }
    }

    // Returns the actor's connection. Clients and operators connect if they have not yet; the proxy opens all
    // other connections, so they are waited for.
    ScenarioPeer& peer(const std::string& actor) {
        if (actor.find('.') != std::string::npos) {
            run_until([&] { return peers_.count(actor) > 0; }, "connection " + actor);
            return peers_[actor];
        }
        auto& peer = peers_[actor];
        if (peer.fd >= 0 || peer.ended) return peer;
        if (actor[0] == 'u')
            peer.fd = proxy_.connect_as_other_process();
        else
            connect(peer, port_for(actor));
        return peer;
    }

    std::uint16_t port_for(const std::string& actor) const {
        if (actor[0] == 'n') return proxy_.newest_admin_port();
        if (actor[0] == 'o') return proxy_.admin_port();
        return proxy_.client_port();
    }

    static void connect(ScenarioPeer& peer, std::uint16_t port) {
        peer.fd = socket(AF_INET, SOCK_STREAM, 0);
        setsockopt(peer.fd, SOL_SOCKET, SO_RCVBUF, &kSmallBuffer, sizeof kSmallBuffer);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        CHECK(::connect(peer.fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    }

    // ---- verbs ----
    void send(ScenarioPeer& peer, const std::string& actor, const std::string& word) {
        const auto [kind, text] = split(word, ':');
        if (kind == "half_close") {
            shutdown(peer.fd, SHUT_WR);
        } else if (kind == "value_bytes") {
            peer.outgoing.append(std::string(std::stoul(text), 'v'));
            peer.write();
        } else if (kind == "list") {
            send_bytes(peer, http_response(endpoint_list(text)));
        } else if (const auto bytes = encode_word(word)) {
            send_bytes(peer, *bytes);
        } else {
            fail("unknown word " + word + " for " + actor);
        }
    }

    // Returns early if the proxy has closed the connection; the next `expect` sees that.
    void send_bytes(ScenarioPeer& peer, const std::string& bytes) {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const auto count =
                ::send(peer.fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0)
                sent += static_cast<std::size_t>(count);
            else if (errno == EAGAIN)
                run_once();
            else
                return;
        }
    }

    std::string endpoint_list(const std::string& text) const {
        const auto [revision, rest] = split(text, ':');
        const auto [kind, entries_text] = split(rest, ':');
        json endpoints = json::array();
        std::istringstream in(entries_text);
        for (std::string endpoint; std::getline(in, endpoint, ',');) {
            const auto [name, phase] = split(endpoint, '=');
            endpoints.push_back(proxy_.entry(name));
            endpoints.back()["phase"] = phase;
        }
        const json list = {
            {"revision", std::stoi(revision)}, {"complete", kind == "full"}, {"members", endpoints}};
        return list.dump();
    }

    void expect(ScenarioPeer& peer, const std::string& actor, const std::string& word) {
        std::optional<std::string> received;
        const auto has_arrived = [&] {
            received = take_word(peer, actor);
            return received.has_value();
        };
        run_until(has_arrived, word);
        if (!matches(word, *received))
            fail("expected " + word + ", got " + received->substr(0, kMaxExcerptBytes));
    }

    // Most responses to a client's many messages are still missing: the proxy serves other clients in
    // between.
    void check_few_messages(ScenarioPeer& peer) const {
        peer.read();
        const auto messages = std::count(peer.incoming.begin(), peer.incoming.end(), 'Z');
        if (messages > kMaxEarlyMessages) fail(std::to_string(messages) + " messages have arrived already");
    }

    // Compares the bytes that the proxy has read from the endpoint with those that it has written to the
    // client. The bytes that the endpoint has sent are not a measure: the kernel's receive buffer grows to
    // several MiB while the proxy reads. The proxy's send buffer to the client is kept small, so that a proxy
    // that reads on has to buffer the rest itself.
    void check_backpressure(ScenarioPeer& endpoint, ScenarioPeer& client) {
        const int upstream = other_end(endpoint.fd);
        const int downstream = other_end(client.fd);
        if (upstream < 0 || downstream < 0)
            fail("the proxy has no connection to the endpoint or to the client");
        CHECK(setsockopt(downstream, SOL_SOCKET, SO_SNDBUF, &kSmallBuffer, sizeof kSmallBuffer) == 0);
        std::uint64_t read_before = 0;
        int idle_iterations = 0;
        const auto has_stopped_reading = [&] {
            const auto from = flow_at(upstream);
            const auto to = flow_at(downstream);
            if (from.read > to.written + kMaxBufferedBytes)
                fail(std::to_string(from.read - to.written) + " bytes are buffered by the proxy");
            const bool reads = from.read != std::exchange(read_before, from.read);
            idle_iterations = reads || from.unread == 0 ? 0 : idle_iterations + 1;
            return idle_iterations > kMaxIdleIterations;
        };
        run_until(has_stopped_reading, "the proxy to stop reading from the endpoint");
    }

    ScenarioProxy proxy_;
    std::string line_;
    std::map<std::string, int> connection_counts_;  // accepted connections by listener
    std::map<std::string, ScenarioPeer> peers_;
};

}  // namespace

void play(const ProxySetup& setup, const std::string& script) {
    ScenarioRunner runner(setup);
    std::istringstream in(script);
    for (std::string line; std::getline(in, line);) runner.run_line(line);
}
