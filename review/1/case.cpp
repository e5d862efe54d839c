// A client sends several writes at once on one connection; soon after, the proxy is told to end by SIGTERM.
// Counts the writes that never get an answer.
#include "../settings.h"

namespace {

using namespace review;

constexpr int kWrites = 40;
constexpr std::int64_t kWorkMs = 110;         // of a write: 70 to 120 ms
constexpr std::int64_t kDeadlineMs = 5'000;   // the class's give-up time, stated as `d`
constexpr std::int64_t kKillAfterMs = 3'750;  // 3 s, as the longest deadline is longer, 0.7 s and slack
constexpr std::int64_t kLateAnswerMs = 550;   // half a second and the slack of the rules on sockets

// The primary of the group, which serves each write in kWorkMs.
std::optional<std::string> serve(const std::string& statement, std::int64_t) {
    if (statement.rfind("SHOW load", 0) == 0)
        return row_response("x0=" + std::to_string(now_ms() / 1000) + ",x1=1,active=0", "SHOW");
    const auto id = tag_of(statement, "id");
    sleep_ms(kWorkMs);
    record().line("member: ran %s", id.c_str());
    return row_response(literal_of(statement, 0), "INSERT 0 1") + parameter_status("role", "primary") +
           parameter_status("applied_ms", std::to_string(now_ms()));
}

}  // namespace

int main(int argc, char** argv) {
    const auto run = begin_case(argc, argv);
    MemberServer primary(serve);
    Discovery discovery;
    discovery.set({{"s-00000001", primary.port(), 0, "a", "in_service", "primary", 0}});
    DeploymentSettings settings;
    settings.checks = "await";
    settings.classes = {{"roster-view", "lag_bound", "read_like", 600, 250, 200},
                        {"hours-report", "eventual", "read_like", 750, 250},
                        {"shift-change", "mutate", "idempotency_key", 5000, 600}};
    const int port = free_port();
    const auto config = run.temp + "/config.json";
    const auto log = run.temp + "/proxy.log";
    const auto scratch = run.temp + "/tmp";
    if (system(("mkdir " + scratch).c_str()) != 0) finish(kCannotRun, "no folder");
    write_file(config, config_json("n1", port, discovery.port(), discovery.list(), settings));
    auto proxy = start_process(run.root, run.run,
                               environment_of(config, "n1", port, discovery.port(), scratch), log, -1);
    if (!await_ready(port, 10'000)) finish(kCannotRun, "the proxy was not ready in 10 s");
    sleep_ms(2'500);  // the proxy has polled discovery

    ClientConnection client;
    if (!client.open(port)) finish(kCannotRun, "the client could not connect");
    std::string commands;
    std::vector<std::string> ids;
    for (int i = 0; i < kWrites; ++i) {
        ids.push_back(new_id());
        commands += message('Q', text_bytes("INSERT INTO facts (code, data) VALUES ('" + new_id() +
                                            "', '\\x9f03') RETURNING data /* id=" + ids.back() +
                                            ",c=shift-change,d=" + std::to_string(kDeadlineMs) +
                                            ",k=" + new_id() + ",cluster=0 */"));
    }
    const auto sent_at = now_us();
    if (!write_all(client.fd(), commands)) finish(kCannotRun, "the client could not send");
    record().line("client: sent %d writes, %zu bytes, d=%d", kWrites, commands.size(),
                  static_cast<int>(kDeadlineMs));

    std::thread platform([&] {
        if (!has_trouble()) return;
        sleep_ms(200);
        record().line("platform: SIGTERM");
        kill(proxy.pid, SIGTERM);
        const auto until = now_us() + kKillAfterMs * 1000;
        while (now_us() < until && !process_has_ended(proxy)) sleep_ms(5);
        if (process_has_ended(proxy)) {
            record().line("platform: the proxy has ended by itself, wait status %d", proxy.status);
            return;
        }
        record().line("platform: SIGKILL");
        kill(proxy.pid, SIGKILL);
    });

    int answered = 0;
    int counts[3] = {0, 0, 0};
    std::int64_t last_at = now_us();
    ReadEnd end = ReadEnd::ok;
    const std::int64_t until = sent_at + (kDeadlineMs + kLateAnswerMs) * 1000;
    while (answered < kWrites) {
        const auto answer = client.read_answer(until);
        if (answer.kind == Answer::Kind::none) {
            end = answer.end;
            break;
        }
        last_at = now_us();
        ++counts[static_cast<int>(answer.kind)];
        record().line("client: %s %s %s", ids[static_cast<std::size_t>(answered)].c_str(),
                      name_of(answer.kind), answer.code.c_str());
        ++answered;
        if (answer.end != ReadEnd::ok) {
            end = answer.end;
            break;
        }
    }
    record().line(
        "client: %d served, %d refused, %d failed, %d without an answer; end: %s, %lld ms after sending",
        counts[0], counts[1], counts[2], kWrites - answered, name_of(end),
        static_cast<long long>((now_us() - sent_at) / 1000));
    for (int i = answered; i < kWrites; ++i)
        record().line("client: %s never answered", ids[static_cast<std::size_t>(i)].c_str());
    record().line("client: last answer %lld ms after sending",
                  static_cast<long long>((last_at - sent_at) / 1000));
    if (answered < kWrites) {
        ClientConnection again;
        record().line("client: a new connection to the proxy %s",
                      again.open(port) ? "is accepted" : "is refused");
    }
    platform.join();
    record_log(log, "n1");
    if (answered < kWrites)
        finish(kRuleBroken, "rule broken: " + std::to_string(kWrites - answered) + " of " +
                                std::to_string(kWrites) + " accepted writes got no answer");
    finish(kRuleHeld, "rule held: every write got its answer");
}
