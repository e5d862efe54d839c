#include "pgwire/statement.h"

#include <charconv>

namespace sloestack::pgwire {
namespace {

constexpr std::string_view kSpace = " \t\r\n";
constexpr std::int64_t kLongestMs = 24 * 3600 * 1000;

std::string_view trim(std::string_view text, std::string_view what) {
    const auto from = text.find_first_not_of(what);
    if (from == std::string_view::npos) return {};
    return text.substr(from, text.find_last_not_of(what) - from + 1);
}

template <class T>
T number(std::string_view name, std::string_view text, T least, T most) {
    T out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc() || end != text.data() + text.size() || out < least || out > most)
        throw ProtocolError("the statement's comment has no valid " + std::string(name));
    return out;
}

std::string_view first_quoted(std::string_view sql) {
    const auto from = sql.find('\'');
    if (from == std::string_view::npos) return {};
    const auto to = sql.find('\'', from + 1);
    return to == std::string_view::npos ? std::string_view{} : sql.substr(from + 1, to - from - 1);
}

}  // namespace

bool is_blank(std::string_view statement) { return trim(statement, " \t\r\n;").empty(); }

Tags read_tags(std::string_view statement) {
    const auto whole = trim(statement, kSpace);
    const auto open = whole.rfind("/*");
    if (open == std::string_view::npos || open == 0 || whole.size() < open + 4 ||
        whole.substr(whole.size() - 2) != "*/")
        throw ProtocolError("the statement does not end with its comment");
    const auto sql = whole.substr(0, open);
    auto rest = whole.substr(open + 2, whole.size() - open - 4);
    Tags out;
    out.first_literal = first_quoted(sql);
    if (out.first_literal.empty()) throw ProtocolError("the statement names no key");
    bool has_left = false, has_cluster = false;
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        const auto pair = trim(rest.substr(0, comma), kSpace);
        rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos) throw ProtocolError("the statement's comment is malformed");
        const auto name = pair.substr(0, equals), value = pair.substr(equals + 1);
        if (name == "id") {
            out.id = value;
        } else if (name == "c") {
            out.request_class = value;
        } else if (name == "k") {
            out.key = value;
        } else if (name == "d") {
            out.time_left_ms = number<std::int64_t>("d", value, 0, kLongestMs);
            out.time_left_offset = static_cast<std::size_t>(value.data() - statement.data());
            out.time_left_size = value.size();
            has_left = true;
        } else if (name == "cluster") {
            out.cluster = number("cluster", value, 0, 65535);
            has_cluster = true;
        } else if (name == "after") {
            out.after_ms = number<std::int64_t>("after", value, 0, std::int64_t{1} << 50);
        } else if (name == "r") {
            out.is_retry = value == "1";
        }
    }
    if (out.id.empty()) throw ProtocolError("the statement's comment has no valid id");
    if (out.request_class.empty()) throw ProtocolError("the statement's comment has no valid c");
    if (!has_left) throw ProtocolError("the statement's comment has no valid d");
    if (!has_cluster) throw ProtocolError("the statement's comment has no valid cluster");
    return out;
}

}  // namespace sloestack::pgwire
