// The text of statements, the contents of rows and the responses that all emulators use, as in the platform's
// protocol page. Recordings made by `sloestackctl pcap make` contain the same, so that a replay of them
// against the emulators gets equal responses.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace emulator {

struct ClassModel {
    const char* name;
    double share;  // of the requests
    bool write;
    std::int64_t max_staleness_us;  // 0: no limit
    std::int64_t timeout_us;        // a client abandons the request after this time
    std::int64_t latency_objective_us;
    double priority_weight;
    bool session = false;  // a read that must see its session's last write
};
// The request classes of the roster system, with the shares and times that its operators state, followed by
// the class that only scenarios with sessions have.
constexpr ClassModel kClasses[] = {
    {"roster-view", 0.47, false, 200'000, 600'000, 250'000, 1},
    {"hours-report", 0.45, false, 0, 750'000, 250'000, 2},
    {"shift-change", 0.08, true, 0, 5'000'000, 600'000, 3},
    {"own-shifts", 0, false, 0, 600'000, 250'000, 1, true},
};
constexpr int kClassCount = 4, kRosterClasses = 3;
constexpr int kWrite = 2, kSessionRead = 3;

// The SplitMix64 generator: equal seeds give equal numbers.
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    std::uint64_t next();
    double unit() { return static_cast<double>(next() >> 11) / 9007199254740992.0; }  // [0, 1)
    std::int64_t between(std::int64_t min, std::int64_t max);                         // both included
    double exponential(double mean);

private:
    std::uint64_t state_;
};
// Returns a hash of `seed` and `text`.
std::uint64_t mixed(std::uint64_t seed, std::string_view text);
std::string hex16(std::uint64_t value);

struct Request {
    int request_class = 0;
    std::string id, code, key, data;  // key and data of a write only
    int group = 0;
    std::int64_t left_ms = 0;   // time left until the client's deadline
    std::int64_t after_ms = 0;  // Unix ms of its session's last commit if the client sends it; otherwise 0
    bool repeat = false;
    bool session = false;  // `code` is the row of a session, which writes and reads it
};
std::string build_statement(const Request& request);
std::string build_tds_statement(const Request& request);  // in T-SQL

// Returns the contents of a row that was never written, a function of its code: 16 to 300 bytes, and 100 000
// for one code in 4096.
std::string stored_value(std::string_view code);
// Return the code in a statement and the decoded data that it writes, or an empty string if there is none.
std::string parse_code(std::string_view statement);
std::string parse_data(std::string_view statement);
// Returns the four messages of the response: RowDescription, DataRow, CommandComplete and ReadyForQuery.
std::string build_row_response(std::string_view value, bool write);
// Returns the response in TDS: COLMETADATA, ROW and DONE tokens, as the payload of a message.
std::string build_tds_row_response(std::string_view value);

}  // namespace emulator
