// What the stand-ins agree on: how a statement reads, and which value a row has. Written from the platform's
// protocol page; recordings made by `sloestackctl pcap make` use the same, so that a replay can agree with
// them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace emulator {

struct ClassModel {
    const char* name;
    double share;  // of the requests
    bool write;
    std::int64_t bound_us;     // how old its data may be; 0: any age
    std::int64_t patience_us;  // given up after
    std::int64_t latency_objective_us;
    double worth;
    bool session = false;  // must see what its session has written
};
// The classes of the roster system, with the shares and times of its operators; behind them the one that only
// scenarios with sessions have.
constexpr ClassModel kClasses[] = {
    {"roster-view", 0.47, false, 200'000, 600'000, 250'000, 1},
    {"hours-report", 0.45, false, 0, 750'000, 250'000, 2},
    {"shift-change", 0.08, true, 0, 5'000'000, 600'000, 3},
    {"own-shifts", 0, false, 0, 600'000, 250'000, 1, true},
};
constexpr int kClassCount = 4, kRosterClasses = 3;
constexpr int kWrite = 2, kSessionRead = 3;

// Repeatable numbers: SplitMix64.
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    std::uint64_t next();
    double unit() { return static_cast<double>(next() >> 11) / 9007199254740992.0; }  // [0, 1)
    std::int64_t between(std::int64_t least, std::int64_t most);
    double exponential(double mean);

private:
    std::uint64_t state_;
};
std::uint64_t mixed(std::uint64_t seed, std::string_view text);
std::string hex16(std::uint64_t value);

struct Question {
    int request_class = 0;
    std::string id, code, key, data;  // key and data of a write only
    int group = 0;
    std::int64_t left_ms = 0;
    std::int64_t after_ms = 0;  // Unix ms of its session's last commit, where the client carries it
    bool repeat = false;
    bool session = false;  // the code names a session: one that writes it and reads it again
};
std::string statement_of(const Question& question);
std::string tds_statement_of(const Question& question);  // the same as T-SQL has it

// What a row holds that nobody has written: 16 to 300 bytes by its code, now and then many more.
std::string value_of(std::string_view code);
// The code of a statement, and the data it writes, decoded; empty where there is none.
std::string code_in(std::string_view statement);
std::string data_in(std::string_view statement);
// The four messages that answer it: description, row, end, ready.
std::string build_row_response(std::string_view value, bool write);
// The same in TDS: columns, row and DONE, as the payload of a message.
std::string build_tds_row_response(std::string_view value);

}  // namespace emulator
