// The primary of one group hangs. A few large writes to it hold the whole memory budget for large statements
// until their deadlines. Writes to another, healthy group stay unread meanwhile, and get their answers long
// after their time.
#include "standins-2.h"

using namespace standins;

namespace {

// Of the deployment cairo-scripts.
constexpr int kDeadlineMs = 3'000;  // given up after 3 s
constexpr int kShortTryMs = 1'200;  // a try is given up after 40 to 100 % of that
constexpr int kWindowMs = 2'000;
constexpr Micros kHangsFor = 10 * kSecond;          // answers none for 5 to 24 s
constexpr Micros kTakeover = 6'900 * kMillisecond;  // given up after 1 to 3 s, and 1.1 to 3.9 s later
constexpr int kMembersOfGroup = 3;                  // 3 to 4; one of six (up to 18 %) hangs
// Up to half a second after its time an answer only earns nothing; time limits are 50 ms longer.
constexpr Micros kLateFrom = 550 * kMillisecond;
constexpr std::size_t kLargeValue = 4 * 1024 * 1024;  // values of up to 4 MiB occur
constexpr std::size_t kUsualValue = 64 * 1024;        // values no larger than 64 KiB
constexpr int kMemoryMb = 192;                        // 32 to 192 MB
constexpr int kLargeWrites = 7;
constexpr int kWrites = 8;
constexpr int kRounds = 4;

// A group: which of its members is the primary, and until when a member hangs.
struct Group {
    std::atomic<int> primary{0};
    std::atomic<Micros> hangs_until[kMembersOfGroup] = {};
};

}  // namespace

int main(int argc, char** argv) {
    const auto arguments = case_arguments(argc, argv);
    Record record(arguments.record);

    Group groups[2];
    std::vector<std::unique_ptr<Member>> members;
    std::vector<Entry> entries;
    for (int group = 0; group < 2; ++group)
        for (int number = 0; number < kMembersOfGroup; ++number) {
            const auto name = "s-0000" + std::to_string(group + 1) + "00" + std::to_string(number + 1);
            members.push_back(std::make_unique<Member>(name, [&, group, number, name](Socket& socket,
                                                                                      const Query& query) {
                auto& state = groups[group];
                if (query.is_write()) record.line("%s: gets %s", name.c_str(), query.id.c_str());
                if (now_us() < state.hangs_until[number]) {
                    sleep_us(state.hangs_until[number] - now_us());
                    // It comes back as a replica; a write that it still held ends in an error.
                    return socket.write(error_answer("XX000", {false, now_us() / kMillisecond}));
                }
                sleep_us(20 * kMillisecond);
                const Status status{state.primary == number, now_us() / kMillisecond};
                if (query.is_write() && !status.is_primary)
                    return socket.write(error_answer("25006", status));
                return socket.write(value_answer("ok", status, query.is_write() ? "INSERT 0 1" : "SELECT 1"));
            }));
            entries.push_back(
                {name, members.back()->port(), number % 2 ? "b" : "a", "in_service", "", group + 1, 0});
        }
    Discovery discovery(entries);

    SiteSettings site;
    site.checks = "await";
    site.role_listed = "none";
    site.classes = {{"campaign-load", "read_like", "eventual", 3'000, 1'000},
                    {"call-outcome", "idempotency_key", "mutate", kDeadlineMs, 600, kWindowMs}};
    ProxyOptions options;
    options.memory_mb = kMemoryMb;
    options.settings = json_of(site);
    Proxy proxy(arguments.folder, options, discovery.port());
    proxy.start();

    const auto hex_of = [](std::size_t bytes) { return std::string(2 * bytes, 'a'); };
    const auto large = hex_of(kLargeValue);
    const auto usual = hex_of(kUsualValue);
    std::atomic<int> lost{0}, answered{0};
    const auto write = [&](int cluster, const std::string& hex, int time_ms) {
        Client client(proxy.port());
        if (!client.is_connected() || !client.start()) return false;
        const auto id = next_id();
        const Micros begun_at = now_us();
        if (!client.send(
                insert_statement("r" + id, hex, id, {"call-outcome", time_ms, cluster, ",k=k" + id})))
            return false;
        const Micros taken_at = now_us();
        record.line("client: write %s of %zu bytes to cluster %d, d=%d, is written whole after %.1f ms",
                    id.c_str(), hex.size() / 2, cluster, time_ms,
                    static_cast<double>(taken_at - begun_at) / 1000);
        const auto answer = client.read_answer(taken_at + 8 * kSecond);
        const Micros after = answer.at - taken_at;
        const bool is_lost = after > time_ms * kMillisecond + kLateFrom;
        record.line("client: write %s: %s %s after %.1f ms%s", id.c_str(), name_of(answer.kind),
                    answer.code.c_str(), static_cast<double>(after) / 1000, is_lost ? ": LOST" : "");
        ++answered;
        if (is_lost) ++lost;
        return answer.kind == AnswerKind::served;
    };
    // Reads of both groups, with which the proxy learns who has taken over.
    std::vector<std::thread> readers;
    for (const int cluster : {1, 2})
        readers.emplace_back([&, cluster] {
            std::unique_ptr<Client> client;
            for (;; sleep_us(30 * kMillisecond)) {
                if (!client) client = std::make_unique<Client>(proxy.port());
                if (!client->is_connected() || !client->start()) client.reset();
                while (client) {
                    const auto id = next_id();
                    const auto answer =
                        client->ask(select_statement("row", id, {"campaign-load", 3'000, cluster, ""}),
                                    now_us() + 4 * kSecond);
                    record.line("client: read %s of cluster %d: %s %s", id.c_str(), cluster,
                                name_of(answer.kind), answer.code.c_str());
                    if (answer.kind == AnswerKind::closed || answer.kind == AnswerKind::none) client.reset();
                    sleep_us(30 * kMillisecond);
                }
            }
        });
    const auto wait_until_served = [&](int cluster) {
        const Micros until = now_us() + 10 * kSecond;
        while (!write(cluster, "aa", 1'000))
            if (now_us() > until) cannot_run("the groups take no writes");
    };
    for (int round = 0; round < kRounds; ++round) {
        for (int number = 0; number < 5; ++number)
            for (const int cluster : {1, 2}) wait_until_served(cluster);
        const Micros began_at = now_us();
        const int hanging = groups[0].primary;
        if (arguments.with_trouble) {
            groups[0].hangs_until[hanging] = began_at + kHangsFor;
            record.line("the primary of cluster 1 hangs");
        }
        std::vector<std::thread> threads;
        for (int number = 0; number < kLargeWrites; ++number) {
            threads.emplace_back([&] { write(1, large, kDeadlineMs); });
            sleep_us(30 * kMillisecond);
        }
        sleep_us(200 * kMillisecond);
        for (int number = 0; number < kWrites; ++number) {
            threads.emplace_back([&] { write(2, usual, kShortTryMs); });
            sleep_us(30 * kMillisecond);
        }
        for (auto& thread : threads) thread.join();
        if (!arguments.with_trouble) continue;
        sleep_us(began_at + kTakeover - now_us());
        groups[0].primary = (hanging + 1) % kMembersOfGroup;
        record.line("a replica of cluster 1 has taken over");
        sleep_us(began_at + kHangsFor + kSecond - now_us());
    }
    for (auto& reader : readers) reader.detach();
    finish(proxy, record, lost > 0,
           std::to_string(lost) + " of " + std::to_string(answered) +
               " writes got their answers over 0.5 s after their time");
}
