#include "pgwire/statement.h"

#include <charconv>

namespace sloestack::pgwire {
namespace {

constexpr std::string_view kWhiteSpace = " \t\r\n";
constexpr std::int64_t kMaxTimeLeftMs = 24 * 3600 * 1000;

std::string_view trim(std::string_view text, std::string_view characters) {
    const auto from = text.find_first_not_of(characters);
    if (from == std::string_view::npos) return {};
    return text.substr(from, text.find_last_not_of(characters) - from + 1);
}

template <class T>
T parse_number(std::string_view name, std::string_view text, T min, T max) {
    T out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc() || end != text.data() + text.size() || out < min || out > max)
        throw ProtocolError("the statement's comment has no valid " + std::string(name));
    return out;
}

std::string_view first_literal_of(std::string_view sql) {
    const auto from = sql.find('\'');
    if (from == std::string_view::npos) return {};
    const auto to = sql.find('\'', from + 1);
    return to == std::string_view::npos ? std::string_view{} : sql.substr(from + 1, to - from - 1);
}

}  // namespace

bool is_blank(std::string_view statement) { return trim(statement, " \t\r\n;").empty(); }

Tags read_tags(std::string_view statement) {
    const auto text = trim(statement, kWhiteSpace);
    const auto comment_at = text.rfind("/*");
    if (comment_at == std::string_view::npos || comment_at == 0 || text.size() < comment_at + 4 ||
        text.substr(text.size() - 2) != "*/")
        throw ProtocolError("the statement does not end with a comment that describes the request");
    const auto sql = text.substr(0, comment_at);
    auto rest = text.substr(comment_at + 2, text.size() - comment_at - 4);
    Tags out;
    out.first_literal = first_literal_of(sql);
    if (out.first_literal.empty())
        throw ProtocolError("the statement has no string literal with the row's key");
    bool has_time_left = false, has_cluster = false;
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        const auto pair = trim(rest.substr(0, comma), kWhiteSpace);
        rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos)
            throw ProtocolError("the statement's comment has an entry that is not name=value");
        const auto name = pair.substr(0, equals), value = pair.substr(equals + 1);
        if (name == "id") {
            out.id = value;
        } else if (name == "c") {
            out.request_class = value;
        } else if (name == "k") {
            out.key = value;
        } else if (name == "d") {
            out.time_left_ms = parse_number<std::int64_t>("d", value, 0, kMaxTimeLeftMs);
            out.time_left_offset = static_cast<std::size_t>(value.data() - statement.data());
            out.time_left_size = value.size();
            has_time_left = true;
        } else if (name == "cluster") {
            out.cluster = parse_number("cluster", value, 0, 65535);
            has_cluster = true;
        } else if (name == "after") {
            out.after_ms = parse_number<std::int64_t>("after", value, 0, std::int64_t{1} << 50);
        } else if (name == "r") {
            out.is_retry = value == "1";
        }
    }
    if (out.id.empty()) throw ProtocolError("the statement's comment has no id");
    if (out.request_class.empty()) throw ProtocolError("the statement's comment has no c, the request class");
    if (!has_time_left)
        throw ProtocolError("the statement's comment has no d, the time left in milliseconds");
    if (!has_cluster)
        throw ProtocolError("the statement's comment has no cluster, the number of the replica group");
    return out;
}

}  // namespace sloestack::pgwire
