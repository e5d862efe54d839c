// Stand-ins for the cases of the second review: discovery, endpoints ("members") and clients, which run as
// threads of the case's program, and the proxy, which runs as a process of its own with the `run` command of
// the deploy file. They follow ../given/docs/PROTOCOL-sloestack.md and use 127.0.0.1 only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace standins {

using Micros = std::int64_t;
constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

// Exit codes of a case.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

// Unix time in microseconds that does not step.
inline Micros now_us() {
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    static const auto steady_origin = std::chrono::steady_clock::now();
    static const Micros anchor =
        duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    return anchor + duration_cast<microseconds>(std::chrono::steady_clock::now() - steady_origin).count();
}

inline void sleep_us(Micros duration) {
    if (duration > 0) std::this_thread::sleep_for(std::chrono::microseconds(duration));
}

[[noreturn]] inline void cannot_run(const std::string& why) {
    std::fprintf(stderr, "the case cannot run: %s\n", why.c_str());
    std::_Exit(kCouldNotRun);
}

// The file record.txt: one line an event, with the time in milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path) : file_(path) {
        if (!file_) cannot_run("cannot write " + path);
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        char time[32];
        std::snprintf(time, sizeof time, "%10.3f ", static_cast<double>(now_us() - started_at_) / 1000);
        const std::lock_guard<std::mutex> lock(mutex_);
        file_ << time << text << "\n" << std::flush;
    }
    double ms(Micros at) const { return static_cast<double>(at - started_at_) / 1000; }

private:
    std::mutex mutex_;
    std::ofstream file_;
    const Micros started_at_ = now_us();
};

// ---- sockets ----

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return at;
}

inline std::uint16_t port_of(int fd) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
}

// `receive_buffer` is set before the socket listens, because accepted sockets inherit it; 0: the default.
inline int listen_on_free_port(int receive_buffer = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) cannot_run("no socket");
    if (receive_buffer) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const auto at = loopback(0);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(fd, 512) != 0)
        cannot_run("no free port");
    return fd;
}

inline std::uint16_t free_port() {
    const int fd = listen_on_free_port();
    const auto port = port_of(fd);
    close(fd);
    return port;
}

// A connected socket with blocking calls. One thread reads, and one writes.
class Socket {
public:
    explicit Socket(int fd = -1) : fd_(fd) {}
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    ~Socket() { close_now(); }

    static std::unique_ptr<Socket> connect_to(std::uint16_t port, int receive_buffer = 0) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (fd < 0) return nullptr;
        if (receive_buffer) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        const auto at = loopback(port);
        auto out = std::make_unique<Socket>(fd);
        if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return nullptr;
        out->set_no_delay(true);
        return out;
    }

    int fd() const { return fd_; }
    void set_no_delay(bool enabled) const {
        const int value = enabled ? 1 : 0;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &value, sizeof value);
    }
    bool write(std::string_view bytes) const {
        while (!bytes.empty()) {
            const auto sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    // Reads up to `most` bytes. Returns 0 at the end of input or an error, and -1 if nothing came by `until`.
    int read_some(char* to, std::size_t most, Micros until) const {
        pollfd request{fd_, POLLIN, 0};
        const Micros left = std::max<Micros>(0, until - now_us());
        const int ready = poll(&request, 1, static_cast<int>((left + 999) / 1000));
        if (ready == 0) return -1;
        if (ready < 0) return errno == EINTR ? -1 : 0;
        const auto count = recv(fd_, to, most, 0);
        return count > 0 ? static_cast<int>(count) : 0;
    }
    bool read_exactly(std::string& out, std::size_t size, Micros until) const {
        out.resize(size);
        std::size_t got = 0;
        while (got < size) {
            const int count = read_some(out.data() + got, size - got, until);
            if (count == 0 || (count < 0 && now_us() >= until)) return false;
            if (count > 0) got += static_cast<std::size_t>(count);
        }
        return true;
    }
    // Ends the connection with a RST.
    void reset() {
        const linger at_once{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close_now();
    }
    // Wakes a thread that reads or writes.
    void shut() const { shutdown(fd_, SHUT_RDWR); }
    void close_now() {
        const int fd = std::exchange(fd_, -1);
        if (fd >= 0) close(fd);
    }

private:
    int fd_;
};

constexpr Micros kNoLimit = std::int64_t{3600} * kSecond;
inline Micros never() { return now_us() + kNoLimit; }

// ---- messages of PostgreSQL's protocol ----

inline std::string int32_bytes(std::uint32_t value) {
    const char bytes[] = {static_cast<char>(value >> 24), static_cast<char>(value >> 16),
                          static_cast<char>(value >> 8), static_cast<char>(value)};
    return std::string(bytes, sizeof bytes);
}
inline std::string int16_bytes(std::uint16_t value) { return int32_bytes(value).substr(2); }
inline std::uint32_t read_int32(const char* bytes) {
    std::uint32_t value = 0;
    for (int i = 0; i < 4; ++i) value = value << 8 | static_cast<unsigned char>(bytes[i]);
    return value;
}
inline std::string text_bytes(const std::string& text) { return text + '\0'; }
inline std::string message(char type, const std::string& body) {
    return type + int32_bytes(static_cast<std::uint32_t>(body.size() + 4)) + body;
}
inline std::string parameter(const std::string& name, const std::string& value) {
    return message('S', text_bytes(name) + text_bytes(value));
}
inline std::string row_description() {
    return message('T', int16_bytes(1) + text_bytes("data") + int32_bytes(0) + int16_bytes(0) +
                            int32_bytes(17) + int16_bytes(0xffff) + int32_bytes(0xffffffff) + int16_bytes(1));
}
inline std::string data_row(const std::string& value) {
    return message('D', int16_bytes(1) + int32_bytes(static_cast<std::uint32_t>(value.size())) + value);
}
inline std::string command_complete(const std::string& tag) { return message('C', text_bytes(tag)); }
inline std::string error_message(const std::string& code, const std::string& text) {
    return message('E', "SERROR" + std::string(1, '\0') + "C" + text_bytes(code) + "M" + text_bytes(text) +
                            std::string(1, '\0'));
}
inline std::string ready() { return message('Z', "I"); }

// What an endpoint tells of itself in an answer.
struct Status {
    bool is_primary = false;
    std::int64_t applied_ms = 0;  // 0: not told
};
inline std::string parameters(const Status& status) {
    auto out = parameter("role", status.is_primary ? "primary" : "replica");
    if (status.applied_ms) out += parameter("applied_ms", std::to_string(status.applied_ms));
    return out;
}
inline std::string value_answer(const std::string& value, const Status& status,
                                const std::string& tag = "SELECT 1") {
    return row_description() + data_row(value) + command_complete(tag) + parameters(status) + ready();
}
inline std::string error_answer(const std::string& code, const Status& status) {
    return error_message(code, "declined") + parameters(status) + ready();
}

// Returns the value of `name` in the comment at the end of a statement.
inline std::string tag_of(const std::string& text, const std::string& name) {
    const auto comment = text.rfind("/*");
    if (comment == std::string::npos) return {};
    auto at = text.find(name + "=", comment);
    while (at != std::string::npos && text[at - 1] != ' ' && text[at - 1] != ',')
        at = text.find(name + "=", at + 1);
    if (at == std::string::npos) return {};
    at += name.size() + 1;
    return text.substr(at, text.find_first_of(", *", at) - at);
}

// ---- endpoints ----

struct Query {
    std::string text;
    std::string id, key;
    int connection = 0;
    Micros begun_at = 0;    // its first byte was read
    Micros arrived_at = 0;  // its last byte was read
    bool is_write() const { return text.compare(0, 6, "INSERT") == 0; }
};

struct MemberOptions {
    bool no_delay = true;
    int receive_buffer = 0;
    // Returns how many bytes a second the endpoint reads of a query of `size` bytes; 0: as fast as it can.
    std::function<std::int64_t(int connection, std::size_t size)> read_rate = {};
    // Returns how late the endpoint greets the proxy on a new connection.
    std::function<Micros(int connection)> delay_greeting = {};
};

// An endpoint. `handle` runs on the thread of the connection and returns false to end the connection.
class Member {
public:
    using Handler = std::function<bool(Socket& socket, const Query& query)>;

    Member(std::string name, Handler handle, MemberOptions options = {})
        : name_(std::move(name)),
          handle_(std::move(handle)),
          options_(std::move(options)),
          listening_(listen_on_free_port(options_.receive_buffer)),
          port_(port_of(listening_)) {
        std::thread([this] { accept_all(); }).detach();
    }
    Member(const Member&) = delete;
    Member& operator=(const Member&) = delete;

    const std::string& name() const { return name_; }
    std::uint16_t port() const { return port_; }

private:
    void accept_all() {
        for (int number = 0;; ++number) {
            const int fd = accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) return;
            std::thread([this, fd, number] { serve(fd, number); }).detach();
        }
    }

    void serve(int fd, int number) {
        Socket socket(fd);
        socket.set_no_delay(options_.no_delay);
        std::string bytes;
        if (!socket.read_exactly(bytes, 4, never())) return;
        const auto size = read_int32(bytes.data());
        if (size < 8 || size > 10'000 || !socket.read_exactly(bytes, size - 4, never())) return;
        if (options_.delay_greeting) sleep_us(options_.delay_greeting(number));
        if (!socket.write(message('R', int32_bytes(0)) + ready())) return;
        while (read_and_handle(socket, number)) {
        }
    }

    bool read_and_handle(Socket& socket, int number) {
        std::string head;
        if (!socket.read_exactly(head, 5, never())) return false;
        Query query;
        query.connection = number;
        query.begun_at = now_us();
        const std::size_t size = read_int32(head.data() + 1) - 4;
        if (!read_body(socket, query.text, size, options_.read_rate ? options_.read_rate(number, size) : 0))
            return false;
        query.arrived_at = now_us();
        if (head[0] == 'X') return false;
        if (head[0] != 'Q' || query.text.empty() || query.text.back() != '\0') return false;
        query.text.pop_back();
        query.id = tag_of(query.text, "id");
        query.key = tag_of(query.text, "k");
        return handle_(socket, query);
    }

    static bool read_body(Socket& socket, std::string& out, std::size_t size, std::int64_t rate) {
        if (rate == 0) return socket.read_exactly(out, size, never());
        constexpr Micros kInterval = 5'000;
        const auto piece = static_cast<std::size_t>(std::max<std::int64_t>(1, rate * kInterval / kSecond));
        Micros next = now_us();
        while (out.size() < size) {
            std::string part;
            if (!socket.read_exactly(part, std::min(piece, size - out.size()), never())) return false;
            out += part;
            next += kInterval;
            sleep_us(next - now_us());
        }
        return true;
    }

    std::string name_;
    Handler handle_;
    MemberOptions options_;
    int listening_;
    std::uint16_t port_;
};

// ---- discovery ----

struct Entry {
    std::string id;
    std::uint16_t port = 0;
    std::string zone = "a";
    std::string phase = "in_service";
    std::string role;  // empty: not listed
    int cell = 1;
    std::int64_t up_since_ms = 0;
};

class Discovery {
public:
    explicit Discovery(std::vector<Entry> entries) : entries_(std::move(entries)) {
        listening_ = listen_on_free_port();
        port_ = port_of(listening_);
        for (const auto& entry : entries_) changed_at_[entry.id] = revision_;
        std::thread([this] { accept_all(); }).detach();
    }
    std::uint16_t port() const { return port_; }

    // Replaces the entry of the same id and reports it in a new revision. An entry in phase `terminated` is
    // no longer part of the whole list.
    void change(const Entry& changed) {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (auto& entry : entries_)
            if (entry.id == changed.id) entry = changed;
        changed_at_[changed.id] = ++revision_;
        changed_.notify_all();
    }

    std::string whole_list() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return list(-1);
    }

private:
    static std::string json_of(const Entry& entry) {
        std::ostringstream out;
        out << "{\"id\":\"" << entry.id << "\",\"host_port\":\"127.0.0.1:" << entry.port
            << "\",\"locality\":\"" << entry.zone << "\",\"flavor\":\"std\",\"cell\":" << entry.cell
            << ",\"phase\":\"" << entry.phase << "\",\"size\":1.0,\"up_since_ms\":" << entry.up_since_ms;
        if (!entry.role.empty()) out << ",\"role\":\"" << entry.role << "\"";
        out << "}";
        return out.str();
    }

    // The entries changed after revision `after`, or the whole list if `after` is negative.
    std::string list(std::int64_t after) {
        std::string members;
        for (const auto& entry : entries_) {
            if (after < 0 ? entry.phase == "terminated" : changed_at_[entry.id] <= after) continue;
            members += (members.empty() ? "" : ",") + json_of(entry);
        }
        return "{\"revision\":" + std::to_string(revision_) +
               ",\"complete\":" + (after < 0 ? "true" : "false") + ",\"members\":[" + members + "]}";
    }

    void accept_all() {
        for (;;) {
            const int fd = accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) return;
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd) {
        Socket socket(fd);
        socket.set_no_delay(true);
        std::string input;
        for (;;) {
            while (input.find("\r\n\r\n") == std::string::npos) {
                char bytes[4096];
                const int count = socket.read_some(bytes, sizeof bytes, never());
                if (count == 0) return;
                if (count > 0) input.append(bytes, static_cast<std::size_t>(count));
            }
            const auto end = input.find("\r\n\r\n") + 4;
            const auto target = input.substr(4, input.find(' ', 4) - 4);
            input.erase(0, end);
            const auto body = answer(target);
            const auto head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(body.size());
            if (!socket.write(head + "\r\n\r\n" + body)) return;
        }
    }

    static std::int64_t number_in(const std::string& target, const std::string& name,
                                  std::int64_t otherwise) {
        const auto at = target.find(name + "=");
        return at == std::string::npos ? otherwise : std::atoll(target.c_str() + at + name.size() + 1);
    }

    std::string answer(const std::string& target) {
        const auto after = number_in(target, "after", -1);
        const auto wait_ms = number_in(target, "wait_ms", 0);
        std::unique_lock<std::mutex> lock(mutex_);
        if (after < 0) return list(-1);
        changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] { return revision_ > after; });
        return list(after);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<Entry> entries_;
    std::map<std::string, std::int64_t> changed_at_;
    std::int64_t revision_ = 1;
    int listening_ = -1;
    std::uint16_t port_ = 0;
};

// ---- the proxy ----

inline std::string run_command() {
    std::ifstream file("deploy/balancer.toml");
    std::string line;
    while (std::getline(file, line)) {
        if (line.compare(0, 5, "run =") != 0) continue;
        const auto first = line.find('"');
        const auto last = line.rfind('"');
        if (first != std::string::npos && last > first) return line.substr(first + 1, last - first - 1);
    }
    cannot_run("deploy/balancer.toml has no run command; start the case from the root of the repository");
}

struct ProxyOptions {
    std::string name = "n1";
    int memory_mb = 192;
    int sockets = 1024;
    std::string settings;  // JSON
    std::string known;     // a list, or empty
    std::string seed = "8c1f30d27a5be964";
    int passed_socket = -1;          // the clients' listening socket, if the platform holds it
    std::uint16_t control_port = 0;  // 0: none
};

// The proxy as a process. Its folder holds the configuration, the log and its TMPDIR.
class Proxy {
public:
    Proxy(std::string folder, const ProxyOptions& options, std::uint16_t discovery_port)
        : folder_(std::move(folder)),
          passed_socket_(options.passed_socket),
          control_port_(options.control_port),
          port_(passed_socket_ >= 0 ? port_of(passed_socket_) : free_port()) {
        static int count = 0;
        config_path_ = folder_ + "/config-" + std::to_string(++count) + ".json";
        std::ofstream config(config_path_);
        config << "{\"name\":\"" << options.name << "\",\"listen\":\"127.0.0.1:" << port_
               << "\",\"discovery\":\"127.0.0.1:" << discovery_port << "\",\"seed\":\"" << options.seed
               << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << options.memory_mb
               << ",\"sockets\":" << options.sockets << "},";
        if (!options.known.empty()) config << "\"known\":" << options.known << ",";
        config << "\"settings\":" << options.settings << "}\n";
        config.close();
        if (!config) cannot_run("cannot write the configuration");
    }
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;
    ~Proxy() { end(); }

    void start() {
        const auto command = run_command();
        const auto& config = config_path_;
        const auto log = folder_ + "/proxy.log";
        pid_ = fork();
        if (pid_ < 0) cannot_run("fork");
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);  // the proxy must not outlive the case
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(fd, 1);
            dup2(fd, 2);
            for (const char* name :
                 {"EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_CONTROL", "EDGE_PASSED_SOCKET"})
                unsetenv(name);
            if (passed_socket_ >= 0) {
                if (passed_socket_ == 3)
                    fcntl(3, F_SETFD, 0);
                else
                    dup2(passed_socket_, 3);
                setenv("EDGE_PASSED_SOCKET", "3", 1);
            }
            if (control_port_)
                setenv("EDGE_CONTROL", ("127.0.0.1:" + std::to_string(control_port_)).c_str(), 1);
            setenv("EDGE_CONFIG", config.c_str(), 1);
            setenv("TMPDIR", folder_.c_str(), 1);
            execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        wait_until_ready();
    }
    void send_signal(int signal) const {
        if (pid_ > 0) kill(pid_, signal);
    }
    // Returns true if the process has ended; `status` is that of waitpid().
    bool has_ended(int* status = nullptr) {
        if (pid_ <= 0) return true;
        int ended_with = 0;
        if (waitpid(pid_, &ended_with, WNOHANG) != pid_) return false;
        if (status) *status = ended_with;
        pid_ = -1;
        return true;
    }
    void end() {
        if (pid_ <= 0) return;
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    pid_t pid() const { return pid_; }
    std::uint16_t port() const { return port_; }
    // Makes a call at the operators' door. Returns the status, or 0 if there was no answer.
    int control(const std::string& call) const {
        const auto socket = Socket::connect_to(control_port_);
        if (!socket || !socket->write(call + " HTTP/1.1\r\nHost: proxy\r\n\r\n")) return 0;
        std::string head;
        if (!socket->read_exactly(head, 12, now_us() + kSecond)) return 0;
        return std::atoi(head.c_str() + 9);
    }
    // Returns a value of /proc/PID/status in KiB.
    std::int64_t memory_kb(const std::string& name) const {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
        std::string line;
        while (std::getline(file, line))
            if (line.compare(0, name.size() + 1, name + ":") == 0)
                return std::atoll(line.c_str() + name.size() + 1);
        return -1;
    }

private:
    void wait_until_ready();

    std::string folder_;
    std::string config_path_;
    int passed_socket_;
    std::uint16_t control_port_;
    std::uint16_t port_;
    pid_t pid_ = -1;
};

// ---- clients ----

enum class AnswerKind { served, refused, failed, empty_query, closed, none };
inline const char* name_of(AnswerKind kind) {
    constexpr const char* kNames[] = {"served", "refused", "failed", "empty query", "closed", "no answer"};
    return kNames[static_cast<int>(kind)];
}
struct Answer {
    AnswerKind kind = AnswerKind::none;
    std::string value;  // of an answer that was served
    std::string code;   // of a refusal or a failure
    std::string text;   // its message
    Micros at = 0;      // its last byte was read
};

class Client {
public:
    explicit Client(std::uint16_t port, int receive_buffer = 0)
        : socket_(Socket::connect_to(port, receive_buffer)) {}

    bool is_connected() const { return socket_ != nullptr; }
    Socket& socket() { return *socket_; }
    // Starts the session and reads up to ReadyForQuery.
    bool start() {
        if (!socket_) return false;
        const auto body = int32_bytes(3 << 16) + text_bytes("user") + text_bytes("portal") +
                          text_bytes("database") + text_bytes("crm") + std::string(1, '\0');
        if (!socket_->write(int32_bytes(static_cast<std::uint32_t>(body.size() + 4)) + body)) return false;
        char type = 0;
        std::string text;
        const Micros until = now_us() + 3 * kSecond;
        while (type != 'Z')
            if (!read_message(type, text, until) || type == 'E') return false;
        return true;
    }
    bool send(const std::string& statement) { return socket_->write(message('Q', text_bytes(statement))); }
    // Reads one answer.
    Answer read_answer(Micros until) {
        Answer out;
        char type = 0;
        std::string body;
        while (type != 'Z') {
            if (!read_message(type, body, until)) {
                // A fatal error does not need ReadyForQuery.
                if (out.kind == AnswerKind::failed || out.kind == AnswerKind::refused) return out;
                out.kind = now_us() >= until ? AnswerKind::none : AnswerKind::closed;
                out.at = now_us();
                return out;
            }
            out.at = now_us();
            if (type == 'D' && body.size() >= 6) out.value = body.substr(6);
            if (type == 'C') out.kind = AnswerKind::served;
            if (type == 'I') out.kind = AnswerKind::empty_query;
            if (type == 'E') read_error(body, out);
        }
        return out;
    }
    Answer ask(const std::string& statement, Micros until) {
        if (!send(statement)) return {AnswerKind::closed, {}, {}, {}, now_us()};
        return read_answer(until);
    }
    void leave() { socket_->close_now(); }

private:
    bool read_message(char& type, std::string& body, Micros until) {
        std::string head;
        if (!socket_->read_exactly(head, 5, until)) return false;
        type = head[0];
        return socket_->read_exactly(body, read_int32(head.data() + 1) - 4, until);
    }
    static void read_error(const std::string& body, Answer& out) {
        for (std::size_t at = 0; at < body.size() && body[at] != '\0';) {
            const auto end = body.find('\0', at);
            if (body[at] == 'C') out.code = body.substr(at + 1, end - at - 1);
            if (body[at] == 'M') out.text = body.substr(at + 1, end - at - 1);
            at = end + 1;
        }
        out.kind = out.code == "53300" || out.code == "57P03" ? AnswerKind::refused : AnswerKind::failed;
    }

    std::unique_ptr<Socket> socket_;
};

inline void Proxy::wait_until_ready() {
    const Micros until = now_us() + 30 * kSecond;
    while (now_us() < until) {
        if (has_ended()) cannot_run("the proxy has ended; see its log");
        if (control_port_) {
            if (control("GET /api/ready") == 200) return;
            sleep_us(10 * kMillisecond);
            continue;
        }
        Client client(port_);
        if (client.is_connected() && client.start() &&
            client.ask("", now_us() + kSecond).kind == AnswerKind::empty_query)
            return;
        sleep_us(50 * kMillisecond);
    }
    cannot_run("the proxy was not ready within 30 s");
}

// ---- statements ----

struct StatementOptions {
    std::string request_class;
    int time_ms = 0;
    int cluster = 1;
    std::string extra;  // further tags, each with a leading comma
};
// Returns an id that is used once.
inline std::string next_id() {
    static std::atomic<std::uint64_t> last{0x1000};
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++last));
    return text;
}
inline std::string comment(const std::string& id, const StatementOptions& options) {
    return " /* id=" + id + ",c=" + options.request_class + ",d=" + std::to_string(options.time_ms) +
           options.extra + ",cluster=" + std::to_string(options.cluster) + " */";
}
inline std::string select_statement(const std::string& row, const std::string& id,
                                    const StatementOptions& options) {
    return "SELECT data FROM facts WHERE code = '" + row + "'" + comment(id, options);
}
inline std::string insert_statement(const std::string& row, const std::string& hex, const std::string& id,
                                    const StatementOptions& options) {
    return "INSERT INTO facts (code, data) VALUES ('" + row + "', '\\x" + hex + "') RETURNING data" +
           comment(id, options);
}

// ---- settings ----

struct ClassSettings {
    std::string name;
    std::string effect = "read_like";
    std::string read = "eventual";
    int deadline_ms = 1000;
    int promise_ms = 500;
    int window_ms = 0;  // of a keyed class; its group is the cell
    int bound_ms = 0;   // of a lag_bound class
};
struct SiteSettings {
    std::vector<ClassSettings> classes;
    std::string checks = "none";
    std::string write_marks = "brought";
    std::string role_listed = "trailing";
    bool cancel = true;
    bool probes = false;
    bool second_copies = false;
    bool gone_is_advice = false;
    int balancers = 1;
    int most_tries = 10;
    int idle_ms = 15'000;
    bool pushed = false;  // lists are pushed to an agent on the proxy's machine
};
inline std::string json_of(const SiteSettings& site) {
    const auto flag = [](bool value) { return value ? "true" : "false"; };
    std::ostringstream classes, reads, bounds;
    for (const auto& each : site.classes) {
        const char* comma = classes.str().empty() ? "" : ",";
        classes << comma << "{\"name\":\"" << each.name << "\",\"effect\":\"" << each.effect
                << "\",\"group\":\"cell\",\"deadline-us\":" << each.deadline_ms * 1000
                << ",\"promise-us\":" << each.promise_ms * 1000
                << ",\"memory-span-us\":" << std::max(1, each.window_ms) * 1000
                << ",\"worth\":1.0,\"late-worth\":0.5}";
        reads << comma << "\"" << each.read << "\"";
        bounds << comma << each.bound_ms * 1000;
    }
    std::ostringstream out;
    out << "{\"azs\":[\"a\",\"b\"],\"zone\":0,\"balancers\":" << site.balancers << ",\"classes\":["
        << classes.str() << "],\"discovery\":\"" << (site.pushed ? "pushed" : "on_request")
        << "\",\"feedback\":{\"how\":\"answers\",\"fields\":[\"x0\",\"x1\","
           "\"inflight\"]},"
        << "\"limits\":{\"cancel\":" << flag(site.cancel) << ",\"conn-idle-us\":" << site.idle_ms * 1000
        << ",\"connect-timeout-us\":250000,\"max-retry-after-us\":2000000,\"most-tries\":" << site.most_tries
        << ",\"probes\":" << flag(site.probes)
        << ",\"retry-after\":true,\"second-copies\":" << flag(site.second_copies)
        << "},\"rules\":{\"ask-every-us\":10000000,\"cold-from\":0.29,\"drain-grace-us\":250000,\"fall-"
           "multiple\":3,"
        << "\"fall-us\":3000000,\"warm-after-us\":18000000";
    if (site.gone_is_advice) out << ",\"gone-is-advice\":true";
    out << "},\"specifics\":{\"checks\":\"" << site.checks << "\",\"patience-us\":50000,\"class-read\":["
        << reads.str() << "],\"progress-told\":true,\"role-listed\":\"" << site.role_listed
        << "\",\"write-marks\":\"" << site.write_marks << "\",\"staleness-bound-us\":[" << bounds.str()
        << "]}}";
    return out.str();
}

// ---- the frame of a case ----

// The arguments of a case: its temporary folder and the path of its record. TROUBLE=0 leaves out the
// disruption.
struct CaseArguments {
    std::string folder;
    std::string record;
    bool with_trouble = true;
};
inline CaseArguments case_arguments(int argc, char** argv) {
    if (argc != 3) cannot_run("usage: CASE FOLDER RECORD");
    signal(SIGPIPE, SIG_IGN);
    now_us();
    const char* trouble = std::getenv("TROUBLE");
    return {argv[1], argv[2], !(trouble && std::string(trouble) == "0")};
}

// Threads of the stand-ins are still running: the process ends without destructors.
[[noreturn]] inline void finish(Proxy& proxy, Record& record, bool is_broken, const std::string& summary) {
    proxy.end();
    record.line("%s", summary.c_str());
    std::printf("%s\n", summary.c_str());
    std::fflush(nullptr);
    std::_Exit(is_broken ? kRuleBroken : kRuleHeld);
}

}  // namespace standins
