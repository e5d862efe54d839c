#include "scenario_words.h"

#include <functional>
#include <map>

#include "pgwire/build.h"
#include "pgwire/frame.h"

namespace pgwire = sloestack::pgwire;

namespace {

constexpr int kTextType = 25;                 // PostgreSQL's type id of text
constexpr std::size_t kFloodBytes = 4 << 20;  // more than any message may have
constexpr std::size_t kLargeValueBytes = 1000;

std::string from_hex(const std::string& digits) {
    std::string bytes;
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
        bytes.push_back(static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
    return bytes;
}

std::string build(const std::function<void(pgwire::Builder&)>& add) {
    std::string bytes;
    pgwire::Builder builder(bytes);
    add(builder);
    return bytes;
}

// `tags` is the request's id, and behind a comma further tags as they stand.
std::string statement(const std::string& kind, const std::string& tags) {
    const auto [id, more] = split(tags, ',');
    const bool is_read = kind == "read";
    std::string sql = is_read ? "SELECT data FROM facts WHERE code = 'x' "
                              : "INSERT INTO facts (code, data) VALUES ('x', 'y') ";
    sql += "/* id=" + id + ",c=" + (is_read ? "view" : "change");
    if (more.find("d=") == std::string::npos) sql += ",d=60000";
    sql += ",cluster=0";
    if (!more.empty()) sql += "," + more;
    return sql + " */";
}

std::string query(const std::string& sql) {
    return build([&](auto& builder) { builder.query(sql); });
}

std::string large_write(const std::string& text) {
    const auto [id, size] = split(text, ':');
    auto sql = statement("write", id);
    return query(sql.insert(sql.find("'y'") + 1, std::stoul(size), 'z'));
}

std::string query_of_words(std::string sql) {
    for (auto& character : sql)
        if (character == '_') character = ' ';
    return query(sql);
}

std::string row_head(std::size_t value_bytes) {
    return build([&](auto& builder) {
        builder.row_description("data", kTextType, true).data_row_header(value_bytes);
    });
}

std::string unfinished_row(const std::string& value) {
    return build([&](auto& builder) {
        builder.row_description("data", kTextType, true).data_row(value).command_complete("SELECT 1");
    });
}

std::string row(const std::string& value) {
    return unfinished_row(value) + build([](auto& builder) { builder.ready_for_query(); });
}

std::string row_longer_than_its_message() {
    auto bytes = row_head(100'000);
    bytes.back() = 1;
    return bytes;
}

std::string http_call(const std::string& text) {
    const auto [method, path] = split(text, ':');
    return method + " " + path + " HTTP/1.1\r\nHost: test\r\n\r\n";
}

using Encoder = std::function<std::string(const std::string& text)>;

const std::map<std::string, Encoder>& encoders() {
    static const std::map<std::string, Encoder> kEncoders = {
        // clients
        {"startup",
         [](auto&) { return build([](auto& builder) { builder.startup_message("portal", "crm"); }); }},
        {"ssl", [](auto&) { return from_hex("0000000804d2162f"); }},
        {"empty", [](auto&) { return query(""); }},
        {"bye", [](auto&) { return from_hex("5800000004"); }},
        {"ext", [](auto&) { return from_hex("500000000800000000") + from_hex("5300000004"); }},
        {"hex", from_hex},
        {"flood", [](auto&) { return std::string(kFloodBytes, 'x'); }},
        {"read", [](auto& text) { return query(statement("read", text)); }},
        {"write", [](auto& text) { return query(statement("write", text)); }},
        {"big", large_write},
        {"sql", query_of_words},
        // members
        {"up",
         [](auto&) {
             return build([](auto& builder) {
                 builder.authentication_ok().parameter_status("role", "replica").ready_for_query();
             });
         }},
        {"role",
         [](auto& text) { return build([&](auto& builder) { builder.parameter_status("role", text); }); }},
        {"at",
         [](auto& text) {
             return build([&](auto& builder) { builder.parameter_status("applied_ms", text); });
         }},
        {"row", row},
        {"unready", unfinished_row},
        {"large", [](auto& text) { return row(std::string(std::stoul(text), 'v')); }},
        {"begin", [](auto& text) { return row_head(std::stoul(text)); }},
        {"lie", [](auto&) { return row_longer_than_its_message(); }},
        {"finish",
         [](auto&) {
             return build([](auto& builder) { builder.command_complete("SELECT 1").ready_for_query(); });
         }},
        {"error",
         [](auto& text) {
             return build(
                 [&](auto& builder) { builder.error_response("ERROR", text, "test").ready_for_query(); });
         }},
        // operators and discovery
        {"call", http_call},
        {"part", [](auto& text) { return text; }},
        {"status", [](auto& text) { return "HTTP/1.1 " + text + " Odd\r\nContent-Length: 0\r\n\r\n"; }},
    };
    return kEncoders;
}

std::optional<std::string> end_if_closed(const ScenarioPeer& peer) {
    if (!peer.ended) return std::nullopt;
    return "end";
}

std::optional<std::string> take_discovery_call(ScenarioPeer& peer) {
    constexpr std::string_view kEndOfHead = "\r\n\r\n";
    const auto end = peer.incoming.find(kEndOfHead);
    if (end == std::string::npos) return end_if_closed(peer);
    const auto call = peer.incoming.substr(0, peer.incoming.find(" HTTP"));
    peer.incoming.erase(0, end + kEndOfHead.size());
    const bool complete_list = call.find('?') == std::string::npos;
    return "call:" + call + (complete_list ? " whole" : "");
}

// The answer ends with the connection.
std::optional<std::string> take_admin_answer(ScenarioPeer& peer) {
    if (!peer.ended) return std::nullopt;
    if (peer.incoming.empty()) return "end";
    if (!peer.started) {
        peer.started = true;
        return "status:" + peer.incoming.substr(9, 3);
    }
    const auto body = peer.incoming.substr(peer.incoming.find("\r\n\r\n") + 4);
    peer.incoming.clear();
    return "says:" + body;
}

std::string error_word(pgwire::FieldReader& body) {
    std::map<char, std::string> fields;
    while (const char field = static_cast<char>(body.byte())) fields[field] = body.text();
    const std::string detail = fields.count('D') ? ":" + fields['D'] : "";
    return "error:" + fields['C'] + detail;
}

std::string row_word(pgwire::FieldReader& body) {
    body.int16();
    const std::string value(body.bytes(body.int32()));
    if (value.size() + 4 > kLargeValueBytes) return "large:" + std::to_string(value.size());
    return "row:" + value;
}

// The word for a message; empty for one that scenarios skip.
std::string word_for(const pgwire::Message& message) {
    pgwire::FieldReader body(message.body);
    switch (message.type) {
        case 'Q':
            return "query:" + std::string(body.text());
        case 'R':
            return "up";
        case 'D':
            return row_word(body);
        case 'I':
            return "empty";
        case 'Z':
            return "ready";
        case 'E':
            return error_word(body);
        default:
            return "";
    }
}

std::optional<std::string> take_pgwire_message(ScenarioPeer& peer) {
    while (const auto message = pgwire::next_message(peer.incoming)) {
        const auto word = word_for(*message);
        if (message->type == 'R') peer.started = true;
        peer.incoming.erase(0, message->size);
        if (!word.empty()) return word;
    }
    return end_if_closed(peer);
}

std::optional<std::string> take_startup(ScenarioPeer& member) {
    const auto message = pgwire::next_startup(member.incoming);
    if (!message) return end_if_closed(member);
    member.started = true;
    member.incoming.erase(0, message->size);
    return "startup";
}

}  // namespace

std::optional<std::string> encode_word(const std::string& word) {
    const auto [kind, text] = split(word, ':');
    const auto encoder = encoders().find(kind);
    if (encoder == encoders().end()) return std::nullopt;
    return encoder->second(text);
}

std::string http_response(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<std::string> take_word(ScenarioPeer& peer, const std::string& actor) {
    peer.read();
    if (actor[0] == 'd') return take_discovery_call(peer);
    if (actor[0] == 'o' || actor[0] == 'n') return take_admin_answer(peer);
    const bool is_member = actor.find('.') != std::string::npos;
    if (is_member && !peer.started) return take_startup(peer);
    if (!is_member && !peer.started && peer.incoming.substr(0, 1) == "N") {
        peer.incoming.erase(0, 1);
        return "N";
    }
    return take_pgwire_message(peer);
}

bool matches(const std::string& expected, const std::string& arrived) {
    const auto [kind, part] = split(expected, ':');
    const auto [arrived_kind, arrived_text] = split(arrived, ':');
    if (expected == "refused:advised")
        return arrived_kind == "error" && arrived_text.substr(0, 6) == "53300:" && arrived_text[6] != '0';
    const bool is_code_alone = kind == "error" && part.size() == 5;
    const bool contains = kind == "query" || kind == "call" || kind == "says" || is_code_alone;
    if (!contains) return arrived == expected;
    return arrived_kind == kind && arrived_text.find(part) != std::string::npos;
}
