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

// What the proxy may buffer of an answer that its client does not read: the window of a session, one read
// more (net::kReadAtOnce), and the heads before a value.
constexpr std::uint64_t kMostBuffered = 64 * 1024 + 64 * 1024 + 1024;
constexpr auto kHangTimeout = std::chrono::seconds(60);  // only a hang takes this long
constexpr int kIdleTurns = 100;  // after so many without a read the proxy has stopped reading
constexpr std::ptrdiff_t kFewMessages = 200;
constexpr std::size_t kLongestExcerpt = 300;

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
        if (verb == "wait" && words.at(0) != "here") return wait_for(std::stoi(words[0]));
        run_peer_line(peer(actor), actor, verb, words);
    }

private:
    void run_proxy_line(const std::string& verb, const std::string& word) {
        if (verb == "close") {
            raise(SIGTERM);
        } else if (verb == "upgrade") {
            proxy_.start_successor();
            run_until([&] { return proxy_.successor_ready(); }, "the successor");
        } else if (verb == "stop") {
            proxy_.stop();
        } else if (verb == "die") {
            proxy_.kill();
        } else if (verb == "reload") {
            proxy_.reload(word);
        } else if (verb == "wait") {
            run_until([&] { return proxy_.over(); }, "the proxy's end");
        } else {
            fail("unknown verb " + verb);
        }
    }

    void run_peer_line(ScenarioPeer& peer, const std::string& actor, const std::string& verb,
                       const std::vector<std::string>& words) {
        if (verb == "send") {
            for (const auto& word : words) send(peer, actor, word);
        } else if (verb == "expect") {
            for (const auto& word : words) expect(peer, actor, word);
        } else if (verb == "behind") {
            check_few_messages(peer);
        } else if (verb == "holds") {
            check_backpressure(peer, this->peer(words.at(0)));
        } else if (verb == "holding") {
            wait_for_bytes(peer, std::stoul(words.at(0)));
        } else if (verb == "close") {
            peer.close(!words.empty());
        } else if (verb != "wait") {  // `wait here`: the connection exists
            fail("unknown verb " + verb);
        }
    }

    [[noreturn]] void fail(const std::string& why) const {
        throw std::runtime_error("\"" + line_ + "\": " + why);
    }

    // ---- the event loop ----
    void run_once() {
        proxy_.run_once();
        for (auto& [name, peer] : peers_) peer.write();
    }

    template <class Condition>
    void run_until(Condition condition, const std::string& what) {
        const auto deadline = std::chrono::steady_clock::now() + kHangTimeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline) fail("never came: " + what);
            run_once();
            accept_connections();
        }
    }

    void wait_for(int milliseconds) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
        run_until([&] { return std::chrono::steady_clock::now() >= end; }, "time");
    }

    void wait_for_bytes(ScenarioPeer& peer, std::size_t count) {
        const auto arrived = [&] {
            peer.read();
            return peer.incoming.size() >= count;
        };
        run_until(arrived, "so many bytes");
    }

    // ---- connections ----
    void accept_connections() {
        for (const auto& [name, listener] : proxy_.listeners())
            for (;;) {
                const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
                if (fd < 0) break;
                // Without the kernel's delay, so that what a line sends has arrived when the next one runs.
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSmallBuffer, sizeof kSmallBuffer);
                const int number = ++accepted_[name];
                peers_[name + "." + std::to_string(number)].fd = fd;
            }
    }

    // The actor's connection: a client or an operator connects, all others are waited for.
    ScenarioPeer& peer(const std::string& actor) {
        if (actor.find('.') != std::string::npos) {
            run_until([&] { return peers_.count(actor) > 0; }, "connection " + actor);
            return peers_[actor];
        }
        auto& peer = peers_[actor];
        if (peer.fd < 0 && !peer.ended) connect(peer, port_for(actor));
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
        if (kind == "half") {
            shutdown(peer.fd, SHUT_WR);
        } else if (kind == "some") {
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

    // Stops where the proxy has closed the connection; the next `expect` shows it.
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
        const auto [kind, members_text] = split(rest, ':');
        json members = json::array();
        std::istringstream in(members_text);
        for (std::string member; std::getline(in, member, ',');) {
            const auto [name, phase] = split(member, '=');
            members.push_back(proxy_.entry(name));
            members.back()["phase"] = phase;
        }
        const json list = {
            {"revision", std::stoi(revision)}, {"complete", kind == "full"}, {"members", members}};
        return list.dump();
    }

    void expect(ScenarioPeer& peer, const std::string& actor, const std::string& word) {
        std::optional<std::string> arrived;
        const auto has_arrived = [&] {
            arrived = take_word(peer, actor);
            return arrived.has_value();
        };
        run_until(has_arrived, word);
        if (!matches(word, *arrived))
            fail("expected " + word + ", got " + arrived->substr(0, kLongestExcerpt));
    }

    // Not all answers to a client's many commands have come: the proxy serves other clients in between.
    void check_few_messages(ScenarioPeer& peer) const {
        peer.read();
        const auto messages = std::count(peer.incoming.begin(), peer.incoming.end(), 'Z');
        if (messages > kFewMessages) fail(std::to_string(messages) + " messages have come already");
    }

    // Compares what the proxy has read from the member with what it has written to the client. What has left
    // the member would not tell: the kernel alone can hold several MiB, as its buffers grow while the proxy
    // reads. The one ahead of the client is kept small, so that a proxy that reads on has to buffer the rest
    // itself.
    void check_backpressure(ScenarioPeer& member, ScenarioPeer& client) {
        const int upstream = other_end(member.fd);
        const int downstream = other_end(client.fd);
        if (upstream < 0 || downstream < 0) fail("no connection of the proxy");
        CHECK(setsockopt(downstream, SOL_SOCKET, SO_SNDBUF, &kSmallBuffer, sizeof kSmallBuffer) == 0);
        std::uint64_t read_before = 0;
        int idle_turns = 0;
        const auto has_stopped_reading = [&] {
            const auto from = flow_at(upstream);
            const auto to = flow_at(downstream);
            if (from.read > to.written + kMostBuffered)
                fail(std::to_string(from.read - to.written) + " bytes are buffered by the proxy");
            const bool reads = from.read != std::exchange(read_before, from.read);
            idle_turns = reads || from.unread == 0 ? 0 : idle_turns + 1;
            return idle_turns > kIdleTurns;
        };
        run_until(has_stopped_reading, "bytes that the proxy leaves with the kernel");
    }

    ScenarioProxy proxy_;
    std::string line_;
    std::map<std::string, int> accepted_;  // connections by listener
    std::map<std::string, ScenarioPeer> peers_;
};

}  // namespace

void play(const ProxySetup& setup, const std::string& script) {
    ScenarioRunner runner(setup);
    std::istringstream in(script);
    for (std::string line; std::getline(in, line);) runner.run_line(line);
}
