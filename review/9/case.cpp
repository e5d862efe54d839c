// A client sends several commands at once and closes its connection while the first one runs. The end of its
// input lies behind large commands that the proxy does not read yet. When the first answer has come, the
// proxy forwards the second command, although its client has left long before.
#include "standins-2.h"

using namespace standins;

namespace {

// Of the deployment cairo-scripts.
constexpr Micros kReadWork = 220 * kMillisecond;  // campaign-load: 130 to 230 ms of work
constexpr Micros kWriteWork = 70 * kMillisecond;  // call-outcome: 54 to 93 ms of work
constexpr int kDeadlineMs = 3'000;                // both given up after 3 s
constexpr int kWindowMs = 2'000;
constexpr std::size_t kUsualValue = 64 * 1024;  // values of at most 64 KiB
constexpr int kLargeWrites = 6;
constexpr Micros kLeavesAfter = 20 * kMillisecond;
// An attempt that begins more than 0.1 s after the close is a break; time limits are 50 ms longer.
constexpr Micros kBeginsTooLate = 150 * kMillisecond;
constexpr int kRounds = 20;

}  // namespace

int main(int argc, char** argv) {
    const auto arguments = case_arguments(argc, argv);
    Record record(arguments.record);

    std::mutex mutex;
    std::map<std::string, Micros> left_at;  // by the request's id
    std::atomic<int> too_late{0}, applied{0};
    const auto serve = [&](const char* name, bool is_primary) {
        return [&, name, is_primary](Socket& socket, const Query& query) {
            {
                const std::lock_guard<std::mutex> lock(mutex);
                const auto left = left_at.find(query.id);
                const bool has_left = left != left_at.end() && left->second <= query.begun_at;
                const Micros after = has_left ? query.begun_at - left->second : 0;
                if (after > kBeginsTooLate) ++too_late;
                record.line("%s: gets %s %s%s", name, query.is_write() ? "write" : "read", query.id.c_str(),
                            !has_left
                                ? ""
                                : (", " + std::to_string(after / 1000) + " ms after its client has closed" +
                                   (after > kBeginsTooLate ? ": TOO LATE" : ""))
                                      .c_str());
            }
            const Status status{is_primary, now_us() / kMillisecond};
            if (query.is_write() && !is_primary) return socket.write(error_answer("25006", status));
            sleep_us(query.is_write() ? kWriteWork : kReadWork);
            if (query.is_write()) ++applied;
            return socket.write(value_answer("ok", status, query.is_write() ? "INSERT 0 1" : "SELECT 1"));
        };
    };
    Member primary("primary", serve("primary", true));
    Member replica("replica", serve("replica", false));
    Discovery discovery({{"s-00000001", primary.port(), "a", "in_service", "", 1, 0},
                         {"s-00000002", replica.port(), "b", "in_service", "", 1, 0}});

    SiteSettings site;
    site.checks = "await";
    site.role_listed = "none";
    site.classes = {{"campaign-load", "read_like", "eventual", kDeadlineMs, 1'000},
                    {"call-outcome", "idempotency_key", "mutate", kDeadlineMs, 600, kWindowMs}};
    ProxyOptions options;
    options.settings = json_of(site);
    Proxy proxy(arguments.folder, options, discovery.port());
    proxy.start();

    // Some usual traffic, so that the proxy knows the primary and has connections.
    {
        Client client(proxy.port());
        if (!client.is_connected() || !client.start()) cannot_run("no session");
        for (int number = 0; number < 10; ++number) {
            const auto id = next_id();
            client.ask(insert_statement("r" + id, "aa", id, {"call-outcome", kDeadlineMs, 1, ",k=k" + id}),
                       now_us() + 4 * kSecond);
            client.ask(select_statement("row", next_id(), {"campaign-load", kDeadlineMs, 1, ""}),
                       now_us() + 4 * kSecond);
        }
    }
    const std::string hex(2 * kUsualValue, 'a');
    int answered = 0;
    for (int round = 0; round < kRounds; ++round) {
        Client client(proxy.port());
        if (!client.is_connected() || !client.start()) cannot_run("no session");
        std::vector<std::string> ids = {next_id()};
        std::string bytes =
            message('Q', text_bytes(select_statement("row", ids[0], {"campaign-load", kDeadlineMs, 1, ""})));
        for (int number = 0; number <= kLargeWrites; ++number) {
            const auto id = next_id();
            ids.push_back(id);
            bytes +=
                message('Q', text_bytes(insert_statement("r" + id, number == 0 ? "aa" : hex, id,
                                                         {"call-outcome", kDeadlineMs, 1, ",k=k" + id})));
        }
        record.line("client: sends a read %s, a write %s and %d writes of %zu bytes at once", ids[0].c_str(),
                    ids[1].c_str(), kLargeWrites, kUsualValue);
        if (!client.socket().write(bytes)) cannot_run("the client's connection has ended");
        if (arguments.with_trouble) {
            sleep_us(kLeavesAfter);
            {
                const std::lock_guard<std::mutex> lock(mutex);
                client.leave();
                for (const auto& id : ids) left_at[id] = now_us();
            }
            record.line("client: has closed its connection");
            sleep_us(kSecond);
            continue;
        }
        for (const auto& id : ids) {
            const auto answer = client.read_answer(now_us() + 5 * kSecond);
            record.line("client: %s: %s %s", id.c_str(), name_of(answer.kind), answer.code.c_str());
            if (answer.kind == AnswerKind::served) ++answered;
        }
    }
    finish(proxy, record, too_late > 0,
           std::to_string(too_late) + " attempts begun over 0.1 s after their clients had left, in " +
               std::to_string(kRounds) + " rounds; " + std::to_string(answered) + " answers served");
}
