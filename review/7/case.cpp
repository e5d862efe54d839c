// An endpoint writes its answer and right after it, while no other query waits on the connection, a second
// copy of it. The endpoint's socket has no TCP_NODELAY, so its kernel holds the second copy back until the
// first is acknowledged. The proxy's next query on the connection carries the acknowledgement: the copy
// arrives behind the query and is read as its answer.
#include "standins-2.h"

using namespace standins;

namespace {

// On the day with two to three times as many requests, "work, aims and deadlines are scaled to fit": here
// by 2.5.
constexpr int kDeadlineMs = 300;
constexpr int kPromiseMs = 100;
constexpr Micros kWork = 20 * kMillisecond;  // 42 to 73 ms of work, scaled
constexpr int kCopyEvery = 20;               // one answer in twenty brings a second copy
constexpr int kClients = 16;                 // about 490 requests a second
constexpr Micros kPauseOfClient = 15 * kMillisecond;
constexpr Micros kDuration = 40 * kSecond;

}  // namespace

int main(int argc, char** argv) {
    const auto arguments = case_arguments(argc, argv);
    Record record(arguments.record);

    std::atomic<int> answers{0};
    std::atomic<int> copies{0};
    const auto serve = [&](const char* name, bool is_primary) {
        return [&, name, is_primary](Socket& socket, const Query& query) {
            sleep_us(kWork);
            record.line("%s: runs %s", name, query.id.c_str());
            const Status status{is_primary, now_us() / kMillisecond};
            const auto row_start = query.text.find('\'') + 1;
            const auto row = query.text.substr(row_start, query.text.find('\'', row_start) - row_start);
            const auto answer = value_answer("value of " + row, status);
            if (!socket.write(answer)) return false;
            if (!arguments.with_trouble || ++answers % kCopyEvery != 0) return true;
            pollfd waiting{socket.fd(), POLLIN, 0};
            if (poll(&waiting, 1, 0) != 0) return true;  // something else waits on the connection
            ++copies;
            record.line("%s: writes a second copy of the answer to %s", name, query.id.c_str());
            return socket.write(answer);
        };
    };
    MemberOptions without_no_delay;
    without_no_delay.no_delay = false;
    Member primary("primary", serve("primary", true), without_no_delay);
    Member replica("replica", serve("replica", false), without_no_delay);
    Discovery discovery({{"s-00000001", primary.port(), "a", "in_service", "primary"},
                         {"s-00000002", replica.port(), "b", "in_service", "replica"}});

    SiteSettings site;
    site.checks = "await";
    site.classes = {{"hours-report", "read_like", "eventual", kDeadlineMs, kPromiseMs}};
    ProxyOptions options;
    options.settings = json_of(site);
    Proxy proxy(arguments.folder, options, discovery.port());
    proxy.start();

    std::atomic<int> served{0};
    std::atomic<int> foreign{0};
    const Micros until = now_us() + kDuration;
    std::vector<std::thread> clients;
    for (int number = 0; number < kClients; ++number)
        clients.emplace_back([&] {
            std::unique_ptr<Client> client;
            while (now_us() < until) {
                if (!client) {
                    client = std::make_unique<Client>(proxy.port());
                    if (!client->is_connected() || !client->start()) {
                        client.reset();
                        sleep_us(10 * kMillisecond);
                        continue;
                    }
                }
                const auto id = next_id();
                const auto row = "row-" + id;
                const auto answer = client->ask(
                    select_statement(row, id, {"hours-report", kDeadlineMs, 1, ""}), now_us() + kSecond);
                if (answer.kind == AnswerKind::served) {
                    ++served;
                    record.line("client: %s: served '%s'", id.c_str(), answer.value.c_str());
                    if (answer.value != "value of " + row) {
                        ++foreign;
                        record.line("client: asked for %s as %s, was served '%s'", row.c_str(), id.c_str(),
                                    answer.value.c_str());
                    }
                } else {
                    record.line("client: %s: %s %s", id.c_str(), name_of(answer.kind), answer.code.c_str());
                    if (answer.kind == AnswerKind::closed || answer.kind == AnswerKind::none) client.reset();
                }
                sleep_us(kPauseOfClient);
            }
        });
    for (auto& client : clients) client.join();
    finish(proxy, record, foreign > 0,
           std::to_string(foreign) + " of " + std::to_string(served) +
               " answers were those of another request, " + std::to_string(copies) + " second copies");
}
