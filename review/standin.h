// Stand-ins for the peers of a proxy (discovery, database members, clients, the platform), shared by the
// cases of the review. Each connection has a thread; everything is on loopback addresses and on the real
// clock. Nothing here is part of the product.
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
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCannotRun = 2;

inline std::int64_t now_us() {
    using namespace std::chrono;
    return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}
inline std::int64_t now_ms() { return now_us() / 1000; }
inline void sleep_ms(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// Writes record.txt: a line for each event, with the milliseconds since the start of the run.
class Record {
public:
    void open(const std::string& path) {
        out_.open(path, std::ios::trunc);
        began_ = now_us();
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[2048];
        va_list args;
        va_start(args, format);
        std::vsnprintf(text, sizeof text, format, args);
        va_end(args);
        const std::lock_guard<std::mutex> lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%9.1f ", static_cast<double>(now_us() - began_) / 1000.0);
        out_ << time << text << "\n";
        out_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    std::int64_t began_ = 0;
};
inline Record& record() {
    static Record instance;
    return instance;
}

// ---- Processes ----

struct Process {
    pid_t pid = 0;
    int status = 0;
    bool has_ended = false;
};
inline std::vector<pid_t>& started_processes() {
    static std::vector<pid_t> pids;
    return pids;
}

// Ends every process that this run started, and the run itself. Threads are not joined.
[[noreturn]] inline void finish(int code, const std::string& verdict) {
    for (const auto pid : started_processes())
        if (waitpid(pid, nullptr, WNOHANG) == 0) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
    record().line("verdict: %s (exit %d)", verdict.c_str(), code);
    std::printf("%s (exit %d)\n", verdict.c_str(), code);
    std::fflush(stdout);
    if (const char* folder = std::getenv("REVIEW_TMP")) {
        const auto command = std::string("rm -rf '") + folder + "'";
        if (std::system(command.c_str()) != 0) std::fflush(stdout);
    }
    _exit(code);
}

inline std::string env_or(const char* name, const std::string& fallback) {
    const char* value = std::getenv(name);
    return value && *value ? value : fallback;
}
inline bool has_trouble() { return env_or("TROUBLE", "1") != "0"; }

// The command that starts one proxy, from the deploy file.
inline std::string run_command(const std::string& root) {
    std::ifstream in(root + "/deploy/balancer.toml");
    std::string line;
    while (std::getline(in, line)) {
        if (line.rfind("run ", 0) != 0 && line.rfind("run=", 0) != 0) continue;
        const auto from = line.find('"');
        const auto to = line.rfind('"');
        if (from != std::string::npos && to > from) return line.substr(from + 1, to - from - 1);
    }
    finish(kCannotRun, "deploy/balancer.toml names no run command");
}

// Starts `command` by /bin/sh -c from `root`, with `environment` added and its output in `log`. If
// `passed_socket` is not negative, the process inherits it as descriptor 3.
inline Process start_process(const std::string& root, const std::string& command,
                             const std::map<std::string, std::string>& environment, const std::string& log,
                             int passed_socket) {
    Process process;
    process.pid = fork();
    if (process.pid < 0) finish(kCannotRun, "fork failed");
    if (process.pid > 0) {
        started_processes().push_back(process.pid);
        return process;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    if (passed_socket >= 0) {
        const int copy = fcntl(passed_socket, F_DUPFD, 10);
        dup2(copy, 3);
        close(copy);
        fcntl(3, F_SETFD, 0);
    }
    for (int fd = passed_socket >= 0 ? 4 : 3; fd < 1024; ++fd) close(fd);
    for (const auto& [name, value] : environment) setenv(name.c_str(), value.c_str(), 1);
    if (chdir(root.c_str()) != 0) _exit(126);
    execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    _exit(127);
}

inline bool process_has_ended(Process& process) {
    if (process.has_ended) return true;
    if (waitpid(process.pid, &process.status, WNOHANG) == process.pid) process.has_ended = true;
    return process.has_ended;
}

// ---- Sockets ----

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

// Listens on a free port of 127.0.0.1.
inline int listen_anywhere(int& port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t size = sizeof address;
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(fd, 1024) != 0 || getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        finish(kCannotRun, "no free port");
    port = ntohs(address.sin_port);
    return fd;
}
inline int free_port() {
    int port = 0;
    close(listen_anywhere(port));
    return port;
}
inline std::string host_port(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int connect_to(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) return -1;
    const int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    const auto address = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
    close(fd);
    return -1;
}

inline bool write_all(int fd, const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto sent = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) return false;
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

enum class ReadEnd { ok, eof, reset, timeout };

// Reads bytes into `buffer` until it holds `size`, at the latest until the time `until_us`.
inline ReadEnd fill(int fd, std::string& buffer, std::size_t size, std::int64_t until_us) {
    while (buffer.size() < size) {
        const auto left_us = until_us - now_us();
        if (left_us <= 0) return ReadEnd::timeout;
        pollfd waiting{fd, POLLIN, 0};
        const int ready = poll(&waiting, 1, static_cast<int>(left_us / 1000) + 1);
        if (ready < 0 && errno == EINTR) continue;
        if (ready <= 0) continue;
        char bytes[65536];
        const auto got = recv(fd, bytes, sizeof bytes, 0);
        if (got == 0) return ReadEnd::eof;
        if (got < 0) return ReadEnd::reset;
        buffer.append(bytes, static_cast<std::size_t>(got));
    }
    return ReadEnd::ok;
}
constexpr std::int64_t kNever = INT64_MAX / 4;

// ---- HTTP to the operators' interface ----

// Returns the status of the response, 0 if there was none in a second.
inline int http_call(int port, const std::string& method, const std::string& target, std::string* body) {
    const int fd = connect_to(port);
    if (fd < 0) return 0;
    std::string in;
    const std::int64_t until = now_us() + 1'000'000;
    if (write_all(fd, method + " " + target + " HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n"))
        while (fill(fd, in, in.size() + 1, until) == ReadEnd::ok) {
            const auto head_end = in.find("\r\n\r\n");
            const auto length_at = in.find("ontent-Length: ");
            if (head_end == std::string::npos || length_at == std::string::npos) continue;
            if (in.size() >= head_end + 4 + std::strtoul(in.c_str() + length_at + 15, nullptr, 10)) break;
        }
    close(fd);
    if (body && in.find("\r\n\r\n") != std::string::npos) *body = in.substr(in.find("\r\n\r\n") + 4);
    return in.size() > 12 ? std::atoi(in.c_str() + 9) : 0;
}

// ---- Discovery ----

struct ListedMember {
    std::string id;
    int port = 0;
    int cell = 0;
    std::string locality = "a";
    std::string phase = "in_service";
    std::string role;
    std::int64_t up_since_ms = 0;
};

class Discovery {
public:
    Discovery() {
        const int listening = listen_anywhere(port_);
        std::thread([this, listening] {
            while (true) {
                const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }
    void set(std::vector<ListedMember> members) {
        const std::lock_guard<std::mutex> lock(mutex_);
        members_ = std::move(members);
        ++revision_;
        changed_.notify_all();
    }
    // The complete list, as discovery sends it.
    std::string list() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return list_locked();
    }

private:
    std::string list_locked() const {
        std::ostringstream out;
        out << "{\"revision\":" << revision_ << ",\"complete\":true,\"members\":[";
        const char* separator = "";
        for (const auto& member : members_) {
            out << separator << "{\"id\":\"" << member.id << "\",\"host_port\":\"" << host_port(member.port)
                << "\",\"locality\":\"" << member.locality << "\",\"flavor\":\"std\",\"cell\":" << member.cell
                << ",\"phase\":\"" << member.phase
                << "\",\"size\":1.0,\"up_since_ms\":" << member.up_since_ms;
            if (!member.role.empty()) out << ",\"role\":\"" << member.role << "\"";
            out << "}";
            separator = ",";
        }
        out << "]}";
        return out.str();
    }
    void serve(int fd) {
        std::string in;
        while (true) {
            std::size_t head_end = 0;
            while ((head_end = in.find("\r\n\r\n")) == std::string::npos)
                if (fill(fd, in, in.size() + 1, kNever) != ReadEnd::ok) {
                    close(fd);
                    return;
                }
            const auto head = in.substr(0, head_end);
            in.erase(0, head_end + 4);
            std::string body;
            const auto after = head.find("after=");
            if (after == std::string::npos) {
                body = list();
            } else {
                const auto revision = std::strtoll(head.c_str() + after + 6, nullptr, 10);
                const auto wait_at = head.find("wait_ms=");
                const auto wait_ms =
                    wait_at == std::string::npos ? 0 : std::strtoll(head.c_str() + wait_at + 8, nullptr, 10);
                std::unique_lock<std::mutex> lock(mutex_);
                const bool is_newer = changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                                                        [&] { return revision_ > revision; });
                body = is_newer ? list_locked()
                                : "{\"revision\":" + std::to_string(revision_) +
                                      ",\"complete\":false,\"members\":[]}";
            }
            if (!write_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" + body)) {
                close(fd);
                return;
            }
        }
    }

    int port_ = 0;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t revision_ = 40;
    std::vector<ListedMember> members_;
};

// ---- PostgreSQL messages ----

inline std::string int16_bytes(unsigned value) {
    return {static_cast<char>(value >> 8 & 255), static_cast<char>(value & 255)};
}
inline std::string int32_bytes(std::uint32_t value) {
    return int16_bytes(value >> 16) + int16_bytes(value & 65535);
}
inline std::uint32_t int32_at(const std::string& bytes, std::size_t at) {
    std::uint32_t out = 0;
    for (std::size_t i = 0; i < 4; ++i) out = out << 8 | static_cast<unsigned char>(bytes[at + i]);
    return out;
}
inline std::string text_bytes(const std::string& text) { return text + '\0'; }
inline std::string message(char type, const std::string& body) {
    return type + int32_bytes(static_cast<std::uint32_t>(body.size() + 4)) + body;
}
inline std::string parameter_status(const std::string& name, const std::string& value) {
    return message('S', text_bytes(name) + text_bytes(value));
}
inline std::string ready_for_query() { return message('Z', "I"); }
inline std::string row_response(const std::string& value, const std::string& tag) {
    return message('T', int16_bytes(1) + text_bytes("data") + int32_bytes(0) + int16_bytes(0) +
                            int32_bytes(17) + int16_bytes(65535) + int32_bytes(0xffffffff) + int16_bytes(1)) +
           message('D', int16_bytes(1) + int32_bytes(static_cast<std::uint32_t>(value.size())) + value) +
           message('C', text_bytes(tag));
}
inline std::string error_message(const std::string& code) {
    return message('E', text_bytes("SERROR") + text_bytes("C" + code) + text_bytes("Mstand-in") + '\0');
}

// Returns the value of `name` in the statement's comment, empty if there is none.
inline std::string tag_of(const std::string& statement, const std::string& name) {
    const auto comment = statement.rfind("/*");
    if (comment == std::string::npos) return {};
    const auto text = "," + statement.substr(comment + 2);
    for (const auto& lead : {"," + name + "=", ", " + name + "="}) {
        const auto at = text.find(lead);
        if (at == std::string::npos) continue;
        const auto from = at + lead.size();
        return text.substr(from, text.find_first_of(", *", from) - from);
    }
    return {};
}
inline std::string literal_of(const std::string& statement, int index) {
    std::size_t at = 0;
    for (int i = 0;; ++i) {
        const auto from = statement.find('\'', at);
        if (from == std::string::npos) return {};
        const auto to = statement.find('\'', from + 1);
        if (to == std::string::npos) return {};
        if (i == index) return statement.substr(from + 1, to - from - 1);
        at = to + 1;
    }
}

// ---- Members ----

// A member's listening socket. `handle` gets each statement once its last byte has arrived, with the time of
// that, and returns the bytes of the response, without ReadyForQuery; nothing closes the connection.
class MemberServer {
public:
    using Handler = std::function<std::optional<std::string>(const std::string&, std::int64_t)>;
    explicit MemberServer(Handler handle, std::function<std::int64_t()> startup_delay_ms = nullptr)
        : handle_(std::move(handle)), startup_delay_ms_(std::move(startup_delay_ms)) {
        const int listening = listen_anywhere(port_);
        std::thread([this, listening] {
            while (true) {
                const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }
    // Connections that stay idle for longer are closed.
    void set_idle_limit_ms(std::int64_t limit) { idle_limit_us_ = limit * 1000; }

private:
    void serve(int fd) {
        const int enabled = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        std::string in;
        if (read_startup(fd, in)) {
            if (startup_delay_ms_) sleep_ms(startup_delay_ms_());
            if (write_all(fd, message('R', int32_bytes(0)) + message('K', int32_bytes(1) + int32_bytes(2)) +
                                  ready_for_query()))
                while (serve_query(fd, in)) {
                }
        }
        close(fd);
    }
    static bool read_startup(int fd, std::string& in) {
        if (fill(fd, in, 8, kNever) != ReadEnd::ok) return false;
        const auto size = int32_at(in, 0);
        if (fill(fd, in, size, kNever) != ReadEnd::ok) return false;
        in.erase(0, size);
        return true;
    }
    bool serve_query(int fd, std::string& in) {
        const auto idle_limit = idle_limit_us_.load();
        if (fill(fd, in, 5, idle_limit > 0 ? now_us() + idle_limit : kNever) != ReadEnd::ok) return false;
        const auto size = std::size_t{1} + int32_at(in, 1);
        if (fill(fd, in, size, kNever) != ReadEnd::ok) return false;
        const auto arrived = now_us();
        const auto type = in[0];
        const auto text = size > 6 ? in.substr(5, size - 6) : std::string();
        in.erase(0, size);
        if (type != 'Q') return false;
        const auto response = handle_(text, arrived);
        return response && write_all(fd, *response + ready_for_query());
    }

    int port_ = 0;
    Handler handle_;
    std::function<std::int64_t()> startup_delay_ms_;
    std::atomic<std::int64_t> idle_limit_us_{0};
};

// ---- Clients ----

struct Answer {
    enum class Kind { served, refused, failed, none };
    Kind kind = Kind::none;
    std::string value;  // if served
    std::string code;   // SQLSTATE, if refused or failed
    ReadEnd end = ReadEnd::ok;
};
inline const char* name_of(Answer::Kind kind) {
    constexpr const char* kNames[] = {"served", "refused", "failed", "none"};
    return kNames[static_cast<int>(kind)];
}
inline const char* name_of(ReadEnd end) {
    constexpr const char* kNames[] = {"ok", "the proxy closed the connection", "reset", "no answer in time"};
    return kNames[static_cast<int>(end)];
}

class ClientConnection {
public:
    ~ClientConnection() { disconnect(); }
    bool is_open() const { return fd_ >= 0; }
    int fd() const { return fd_; }
    void disconnect() {
        if (fd_ >= 0) close(fd_);
        fd_ = -1;
        in_.clear();
    }
    // Connects and writes the startup message; the answer to that is read with the first answer.
    bool open(int port) {
        disconnect();
        fd_ = connect_to(port);
        if (fd_ < 0) return false;
        const auto body = int32_bytes(196608) + text_bytes("user") + text_bytes("portal") +
                          text_bytes("database") + text_bytes("crm") + '\0';
        return write_all(fd_, int32_bytes(static_cast<std::uint32_t>(body.size() + 4)) + body) &&
               read_greeting();
    }
    bool send_query(const std::string& statement) {
        return fd_ >= 0 && write_all(fd_, message('Q', text_bytes(statement)));
    }
    Answer read_answer(std::int64_t until_us) {
        Answer answer;
        while (true) {
            answer.end = fill(fd_, in_, 5, until_us);
            if (answer.end != ReadEnd::ok) return give_up(answer);
            const auto size = std::size_t{1} + int32_at(in_, 1);
            answer.end = fill(fd_, in_, size, until_us);
            if (answer.end != ReadEnd::ok) return give_up(answer);
            const auto type = in_[0];
            const auto body = in_.substr(5, size - 5);
            in_.erase(0, size);
            if (type == 'D' && body.size() >= 6) answer.value = body.substr(6);
            if (type == 'C') answer.kind = Answer::Kind::served;
            if (type == 'E') read_error(body, answer);
            if (type == 'Z') return answer;
        }
    }
    // Returns true if the proxy has ended the connection and nothing is left to read.
    bool has_ended() {
        char byte = 0;
        const auto got = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

private:
    // A fatal error needs no ReadyForQuery: an answer that was read before the end counts.
    static Answer give_up(Answer answer) { return answer; }
    static void read_error(const std::string& body, Answer& answer) {
        for (std::size_t at = 0; at < body.size() && body[at] != '\0';) {
            const auto end = body.find('\0', at + 1);
            if (end == std::string::npos) break;
            if (body[at] == 'C') answer.code = body.substr(at + 1, end - at - 1);
            at = end + 1;
        }
        const bool is_refusal = answer.code == "53300" || answer.code == "57P03";
        answer.kind = is_refusal ? Answer::Kind::refused : Answer::Kind::failed;
    }
    bool read_greeting() {
        Answer greeting = read_answer(now_us() + 3'000'000);
        return greeting.end == ReadEnd::ok && greeting.kind == Answer::Kind::none;
    }

    int fd_ = -1;
    std::string in_;
};

inline std::string new_id() {
    static std::atomic<std::uint64_t> last{static_cast<std::uint64_t>(now_us()) << 8};
    char text[32];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(++last * 0x9e3779b97f4a7c15ULL));
    return text;
}

// ---- One deployment ----

struct Case {
    std::string root;  // of the repository
    std::string temp;  // private, removed at the end
    std::string run;   // the deploy file's command
};

// argv: the path of record.txt, the root of the repository.
inline Case begin_case(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    if (argc != 3) finish(kCannotRun, "usage: RECORD ROOT");
    Case out;
    out.root = argv[2];
    record().open(argv[1]);
    std::string temp = env_or("TMPDIR", "/tmp") + "/review-XXXXXX";
    if (!mkdtemp(temp.data())) finish(kCannotRun, "no temporary folder");
    setenv("REVIEW_TMP", temp.c_str(), 1);
    out.temp = temp;
    if (access((out.root + "/build/sloestack").c_str(), X_OK) != 0)
        finish(kCannotRun, "build/sloestack is missing: run the build of the deploy file");
    out.run = run_command(out.root);
    record().line("trouble: %s", has_trouble() ? "yes" : "no");
    return out;
}

inline void write_file(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

// Copies a proxy's log into the record.
inline void record_log(const std::string& path, const std::string& name) {
    std::ifstream in(path);
    std::string line;
    while (std::getline(in, line))
        if (line.find("metrics") == std::string::npos && line.find("sessions") == std::string::npos)
            record().line("log of %s: %s", name.c_str(), line.c_str());
}

}  // namespace review
