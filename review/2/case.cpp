// Clients of a class with sessions write and read their own row, while the platform starts a new version of
// the proxy beside the old one and then ends the old one. Counts the reads that miss the session's own write.
#include "../settings.h"

namespace {

using namespace review;

constexpr std::int64_t kShipUs = 13'000;   // a replica receives the log 3.6 to 13 ms after the primary
constexpr std::int64_t kApplyUs = 20'000;  // and applies it with one thread, busy 46 to 65% of the time
constexpr std::int64_t kWriteWorkMs = 20;
constexpr std::int64_t kReadWorkMs = 10;
constexpr int kSessions = 14;
constexpr std::int64_t kThinkMs = 450;        // 14 sessions write 28 times a second: the thread is busy 57%
constexpr std::int64_t kUpgradeAtMs = 4'000;  // after the start of the traffic
constexpr std::int64_t kTrafficMs = 14'000;
constexpr std::int64_t kTermAfterYesMs = 1'000;
constexpr std::int64_t kKillAfterMs = 3'750;

struct Commit {
    std::int64_t at = 0;
    std::int64_t applied_at = 0;  // at the replicas
    std::string key;
    std::string value;
};

// The rows of one replica group. All replicas lag by the same log.
class Group {
public:
    // Commits a write at the primary. Returns the time of the commit.
    std::int64_t write(const std::string& key, const std::string& value) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::int64_t at = std::max(now_us(), commits_.empty() ? 0 : commits_.back().at + 1);
        const std::int64_t ready = at + kShipUs;
        const std::int64_t begin = commits_.empty() ? ready : std::max(ready, commits_.back().applied_at);
        commits_.push_back({at, begin + kApplyUs, key, value});
        return at;
    }
    // Returns the row as a member holds it now, and sets the position up to which it has applied every
    // commit.
    std::string read(const std::string& key, bool is_primary, std::int64_t& position) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::int64_t now = now_us();
        position = is_primary ? now : now - kShipUs;
        std::string value = "0";
        for (const auto& commit : commits_) {
            if (!is_primary && commit.applied_at > now) {
                position = std::min(position, commit.at - 1);
                break;
            }
            if (commit.key == key) value = commit.value;
        }
        return value;
    }

private:
    std::mutex mutex_;
    std::vector<Commit> commits_;
};
Group group;

class Member {
public:
    Member(std::string name, bool is_primary)
        : name_(std::move(name)),
          is_primary_(is_primary),
          server_([this](const std::string& text, std::int64_t) { return serve(text); }) {}
    int port() const { return server_.port(); }

private:
    std::optional<std::string> serve(const std::string& text) {
        std::int64_t position = 0;
        if (text.rfind("SHOW load", 0) == 0) {
            group.read("", is_primary_, position);
            char report[64];
            std::snprintf(report, sizeof report, "x0=%.3f,x1=%d,active=0",
                          static_cast<double>(position / 1000) / 1e3, is_primary_ ? 1 : 0);
            return row_response(report, "SHOW");
        }
        const auto key = literal_of(text, 0);
        if (text.rfind("INSERT", 0) == 0) {
            if (!is_primary_) return error_message("25006") + notes(0);
            sleep_ms(kWriteWorkMs);
            const auto at = group.write(key, literal_of(text, 1));
            // Commits are rounded up, positions down.
            return row_response(literal_of(text, 1), "INSERT 0 1") + notes((at + 999) / 1000);
        }
        const auto value = group.read(key, is_primary_, position);
        sleep_ms(kReadWorkMs);
        if (tag_of(text, "c") == "roster-view")
            record().line("member %s: read of %s: %s", name_.c_str(), key.c_str(), value.c_str());
        return row_response(value, "SELECT 1") + notes(position / 1000);
    }
    std::string notes(std::int64_t position_ms) const {
        auto out = parameter_status("role", is_primary_ ? "primary" : "replica");
        if (position_ms > 0) out += parameter_status("applied_ms", std::to_string(position_ms));
        return out;
    }

    std::string name_;
    bool is_primary_;
    MemberServer server_;
};

std::atomic<int> stale_reads{0};
std::atomic<int> good_reads{0};
std::atomic<int> reads_after_reconnect{0};
std::atomic<int> writes{0};
std::atomic<int> unserved{0};

std::string statement_of(const std::string& key, const std::string& class_name, int deadline_ms, int value) {
    const auto tags = "/* id=" + new_id() + ",c=" + class_name + ",d=" + std::to_string(deadline_ms);
    if (class_name != "shift-change")
        return "SELECT data FROM facts WHERE code = '" + key + "' " + tags + ",cluster=0 */";
    return "INSERT INTO facts (code, data) VALUES ('" + key + "', '" + std::to_string(value) +
           "') RETURNING data " + tags + ",k=" + new_id() + ",cluster=0 */";
}

// Sends one request; reconnects, as clients do, where the proxy has closed the connection between requests.
Answer request(ClientConnection& client, int port, const std::string& statement, int deadline_ms,
               bool* has_reconnected) {
    for (int attempt = 0; attempt < 2; ++attempt) {
        if (!client.is_open() || client.has_ended()) {
            if (!client.open(port)) return {};
            if (has_reconnected) *has_reconnected = true;
        }
        if (client.send_query(statement)) {
            const auto answer = client.read_answer(now_us() + deadline_ms * 1000 + 600'000);
            if (answer.kind != Answer::Kind::none) return answer;
        }
        client.disconnect();
    }
    return {};
}

// One session: writes its row, reads it at once, pauses. A session has one connection at a time.
void run_session(int port, int number, std::int64_t until_us) {
    char key[32];
    std::snprintf(key, sizeof key, "%016x", 0x7f3a0000 + number);
    ClientConnection client;
    int value = 0;
    sleep_ms(number * kThinkMs / kSessions);
    while (now_us() < until_us) {
        ++value;
        const auto written =
            request(client, port, statement_of(key, "shift-change", 5000, value), 5000, nullptr);
        if (written.kind == Answer::Kind::served) {
            const auto acknowledged_at = now_us();
            ++writes;
            bool has_reconnected = false;
            const auto read =
                request(client, port, statement_of(key, "roster-view", 600, 0), 600, &has_reconnected);
            if (read.kind == Answer::Kind::served) {
                const bool is_stale = std::atoi(read.value.c_str()) < value;
                ++(is_stale ? stale_reads : good_reads);
                if (has_reconnected) ++reads_after_reconnect;
                record().line("session %s: wrote %d, read %s %.1f ms after the write's answer%s%s", key,
                              value, read.value.c_str(),
                              static_cast<double>(now_us() - acknowledged_at) / 1000.0,
                              has_reconnected ? ", on a new connection" : "", is_stale ? ": STALE" : "");
            } else {
                ++unserved;
            }
        } else {
            ++unserved;
        }
        sleep_ms(kThinkMs);
    }
}

// Other clients, whose reads any member may answer; the proxies learn roles and positions from the answers.
void run_background(int port, int number, std::int64_t until_us) {
    ClientConnection client;
    char key[32];
    std::snprintf(key, sizeof key, "%016x", 0x11110000 + number);
    while (now_us() < until_us) {
        request(client, port, statement_of(key, "hours-report", 750, 0), 750, nullptr);
        sleep_ms(20);
    }
}

}  // namespace

int main(int argc, char** argv) {
    const auto run = begin_case(argc, argv);
    Member primary("primary", true);
    Member replica1("replica1", false);
    Member replica2("replica2", false);
    Discovery discovery;
    discovery.set({{"s-00000001", primary.port(), 0, "a", "in_service", "primary", 0},
                   {"s-00000002", replica1.port(), 0, "a", "in_service", "replica", 0},
                   {"s-00000003", replica2.port(), 0, "a", "in_service", "replica", 0}});
    DeploymentSettings settings;
    settings.checks = "none";
    settings.write_marks = "kept";
    settings.classes = {{"roster-view", "causal", "read_like", 600, 250},
                        {"hours-report", "eventual", "read_like", 750, 250},
                        {"shift-change", "mutate", "idempotency_key", 5000, 600}};
    int port = 0;
    const int listening = listen_anywhere(port);  // held by the platform, inherited by every process
    const auto config = run.temp + "/config.json";
    const auto scratch = run.temp + "/tmp";
    if (system(("mkdir " + scratch).c_str()) != 0) finish(kCannotRun, "no folder");
    write_file(config, config_json("n1", port, discovery.port(), discovery.list(), settings));
    auto environment = environment_of(config, "n1", port, discovery.port(), scratch);
    environment["EDGE_PASSED_SOCKET"] = "3";
    const int old_control = free_port();
    environment["EDGE_CONTROL"] = host_port(old_control);
    auto old_process = start_process(run.root, run.run, environment, run.temp + "/old.log", listening);
    if (!await_ready(port, 10'000)) finish(kCannotRun, "the proxy was not ready in 10 s");
    sleep_ms(1'000);

    const auto began = now_us();
    const auto until = began + kTrafficMs * 1000;
    std::vector<std::thread> clients;
    for (int i = 0; i < kSessions; ++i) clients.emplace_back(run_session, port, i, until);
    for (int i = 0; i < 4; ++i) clients.emplace_back(run_background, port, i, until);
    if (has_trouble()) {
        sleep_ms(kUpgradeAtMs);
        const int new_control = free_port();
        environment["EDGE_CONTROL"] = host_port(new_control);
        record().line("platform: starts the new version");
        start_process(run.root, run.run, environment, run.temp + "/new.log", listening);
        const auto ready_until = now_us() + 6'000'000;
        while (now_us() < ready_until && http_call(new_control, "GET", "/api/ready", nullptr) != 200)
            sleep_ms(20);
        if (http_call(new_control, "GET", "/api/ready", nullptr) != 200)
            finish(kCannotRun, "the new version was not ready in 6 s");
        record().line("platform: the new version says yes");
        sleep_ms(kTermAfterYesMs);
        record().line("platform: SIGTERM to the old version");
        kill(old_process.pid, SIGTERM);
        const auto kill_at = now_us() + kKillAfterMs * 1000;
        while (now_us() < kill_at && !process_has_ended(old_process)) sleep_ms(10);
        if (!process_has_ended(old_process)) kill(old_process.pid, SIGKILL);
        record().line("platform: the old version has ended");
    }
    for (auto& client : clients) client.join();
    record_log(run.temp + "/old.log", "old");
    record_log(run.temp + "/new.log", "new");
    record().line(
        "%d writes served, %d session reads served, %d of them on a new connection, %d stale; "
        "%d requests not served",
        writes.load(), good_reads + stale_reads, reads_after_reconnect.load(), stale_reads.load(),
        unserved.load());
    if (good_reads + stale_reads < 50) finish(kCannotRun, "too few reads were served");
    if (stale_reads > 0)
        finish(kRuleBroken, "rule broken: " + std::to_string(stale_reads) + " of " +
                                std::to_string(good_reads + stale_reads) +
                                " session reads missed a write that the session had been told was served");
    finish(kRuleHeld, "rule held: " + std::to_string(good_reads.load()) + " session reads, none stale");
}
