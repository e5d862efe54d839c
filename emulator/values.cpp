#include "emulator/values.h"

#include <cmath>
#include <cstdio>

#include "pgwire/build.h"
#include "tds/token.h"

namespace emulator {
namespace {

constexpr std::uint32_t kBytea = 17;
constexpr std::size_t kLargeValue = 100'000;  // more than the proxy buffers of a response
constexpr std::uint64_t kLargeEvery = 4096;   // one code in this many has a large value

std::string hex(std::string_view bytes) {
    constexpr char digits[] = "0123456789abcdef";
    std::string out;
    out.reserve(bytes.size() * 2);
    for (const unsigned char c : bytes) {
        out.push_back(digits[c >> 4]);
        out.push_back(digits[c & 15]);
    }
    return out;
}

int nibble(char c) { return c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : 0; }

}  // namespace

std::uint64_t Random::next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}
std::int64_t Random::between(std::int64_t min, std::int64_t max) {
    return max <= min ? min
                      : min + static_cast<std::int64_t>(next() % static_cast<std::uint64_t>(max - min + 1));
}
double Random::exponential(double mean) { return -mean * std::log(1 - unit()); }

std::uint64_t mixed(std::uint64_t seed, std::string_view text) {
    std::uint64_t out = seed ^ 14695981039346656037u;
    for (const unsigned char c : text) out = (out ^ c) * 1099511628211u;
    return Random(out).next();
}
std::string hex16(std::uint64_t value) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

namespace {

std::string build_tags(const Request& q) {
    std::string out =
        " /* id=" + q.id + ",c=" + kClasses[q.request_class].name + ",d=" + std::to_string(q.left_ms);
    if (!q.key.empty()) out += ",k=" + q.key;
    out += ",cluster=" + std::to_string(q.group);
    if (q.after_ms > 0) out += ",after=" + std::to_string(q.after_ms);
    return out + (q.repeat ? ",r=1 */" : " */");
}
std::string build_read(const Request& q) {
    return "SELECT data FROM facts WHERE code = '" + q.code + "'" + build_tags(q);
}

}  // namespace

std::string build_statement(const Request& q) {
    if (!kClasses[q.request_class].write) return build_read(q);
    return "INSERT INTO facts (code, data) VALUES ('" + q.code + "', '\\x" + hex(q.data) +
           "') RETURNING data" + build_tags(q);
}

std::string build_tds_statement(const Request& q) {
    if (!kClasses[q.request_class].write) return build_read(q);
    return "INSERT INTO facts (code, data) OUTPUT inserted.data VALUES ('" + q.code + "', 0x" + hex(q.data) +
           ")" + build_tags(q);
}

std::string stored_value(std::string_view code) {
    Random random(mixed(7, code));
    const bool large = random.next() % kLargeEvery == 0;
    std::string out(large ? kLargeValue : static_cast<std::size_t>(random.between(16, 300)), '\0');
    for (auto& c : out) c = static_cast<char>(random.next());
    return out;
}

std::string parse_code(std::string_view statement) {
    const auto from = statement.find('\'');
    const auto to = from == std::string_view::npos ? from : statement.find('\'', from + 1);
    return to == std::string_view::npos ? std::string()
                                        : std::string(statement.substr(from + 1, to - from - 1));
}

std::string parse_data(std::string_view statement) {
    const auto from = statement.find("'\\x");
    const auto to = from == std::string_view::npos ? from : statement.find('\'', from + 3);
    if (to == std::string_view::npos) return {};
    std::string out;
    for (auto i = from + 3; i + 1 < to; i += 2)
        out.push_back(static_cast<char>(nibble(statement[i]) << 4 | nibble(statement[i + 1])));
    return out;
}

std::string build_row_response(std::string_view value, bool write) {
    std::string out;
    out.reserve(value.size() + 96);
    sloestack::pgwire::Builder(out)
        .row_description("data", kBytea, true)
        .data_row(value)
        .command_complete(write ? "INSERT 0 1" : "SELECT 1")
        .ready_for_query();
    return out;
}

std::string build_tds_row_response(std::string_view value) {
    namespace tds = sloestack::tds;
    tds::Column column;
    column.name = "data";
    column.type.id = tds::TypeId::varbinary;
    column.type.size = tds::kMaxLength;
    column.type.max = true;
    std::string out;
    tds::TokenBuilder(out).columns({column}).row();
    tds::put_chunks(out, value);
    tds::TokenBuilder(out).done({tds::Done::Kind::batch, tds::done::count, 0xc1, 1});
    return out;
}

}  // namespace emulator
