#include "scenario_words.h"

#include <functional>
#include <map>

#include "pgwire/build.h"
#include "pgwire/frame.h"

namespace pgwire = sloestack::pgwire;

namespace {

constexpr int kTextType = 25;                   // PostgreSQL's type id of text
constexpr std::size_t kGarbageBytes = 4 << 20;  // more than the size limit of a message
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

// Returns a statement of the request class `view` (a read) or `change` (a write). `tags` is the request id,
// followed by a comma and further tags that are copied as they are.
std::string statement(const std::string& kind, const std::string& tags) {
    const auto [id, other_tags] = split(tags, ',');
    const bool is_read = kind == "read";
    std::string sql = is_read ? "SELECT data FROM facts WHERE code = 'x' "
                              : "INSERT INTO facts (code, data) VALUES ('x', 'y') ";
    sql += "/* id=" + id + ",c=" + (is_read ? "view" : "change");
    if (other_tags.find("d=") == std::string::npos) sql += ",d=60000";
    sql += ",cluster=0";
    if (!other_tags.empty()) sql += "," + other_tags;
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

std::string query_from_word(std::string sql) {
    for (auto& character : sql)
        if (character == '_') character = ' ';
    return query(sql);
}

std::string row_header(std::size_t value_bytes) {
    return build([&](auto& builder) {
        builder.row_description("data", kTextType, true).data_row_header(value_bytes);
    });
}

std::string row_without_ready(const std::string& value) {
    return build([&](auto& builder) {
        builder.row_description("data", kTextType, true).data_row(value).command_complete("SELECT 1");
    });
}

std::string row(const std::string& value) {
    return row_without_ready(value) + build([](auto& builder) { builder.ready_for_query(); });
}

std::string oversized_row() {
    auto bytes = row_header(100'000);
    bytes.back() = 1;
    return bytes;
}

std::string http_request(const std::string& text) {
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
        {"terminate", [](auto&) { return from_hex("5800000004"); }},
        {"extended_query", [](auto&) { return from_hex("500000000800000000") + from_hex("5300000004"); }},
        {"hex", from_hex},
        {"garbage", [](auto&) { return std::string(kGarbageBytes, 'x'); }},
        {"read", [](auto& text) { return query(statement("read", text)); }},
        {"write", [](auto& text) { return query(statement("write", text)); }},
        {"large_write", large_write},
        {"sql", query_from_word},
        // endpoints
        {"auth_ok",
         [](auto&) {
             return build([](auto& builder) {
                 builder.authentication_ok().parameter_status("role", "replica").ready_for_query();
             });
         }},
        {"role",
         [](auto& text) { return build([&](auto& builder) { builder.parameter_status("role", text); }); }},
        {"applied_ms",
         [](auto& text) {
             return build([&](auto& builder) { builder.parameter_status("applied_ms", text); });
         }},
        {"row", row},
        {"row_without_ready", row_without_ready},
        {"large", [](auto& text) { return row(std::string(std::stoul(text), 'v')); }},
        {"row_header", [](auto& text) { return row_header(std::stoul(text)); }},
        {"oversized_row", [](auto&) { return oversized_row(); }},
        {"command_complete",
         [](auto&) {
             return build([](auto& builder) { builder.command_complete("SELECT 1").ready_for_query(); });
         }},
        {"error",
         [](auto& text) {
             return build(
                 [&](auto& builder) { builder.error_response("ERROR", text, "test").ready_for_query(); });
         }},
        // operators and discovery
        {"request", http_request},
        {"partial", [](auto& text) { return text; }},
        {"line", [](auto& text) { return text + "\n"; }},
        {"status", [](auto& text) { return "HTTP/1.1 " + text + " Odd\r\nContent-Length: 0\r\n\r\n"; }},
    };
    return kEncoders;
}

std::optional<std::string> end_if_closed(const ScenarioPeer& peer) {
    if (!peer.ended) return std::nullopt;
    return "end";
}

std::optional<std::string> take_poll(ScenarioPeer& peer) {
    constexpr std::string_view kEndOfHead = "\r\n\r\n";
    const auto end = peer.incoming.find(kEndOfHead);
    if (end == std::string::npos) return end_if_closed(peer);
    const auto request_line = peer.incoming.substr(0, peer.incoming.find(" HTTP"));
    peer.incoming.erase(0, end + kEndOfHead.size());
    const bool is_complete_list = request_line.find('?') == std::string::npos;
    return "poll:" + request_line + (is_complete_list ? " complete" : "");
}

// The admin server closes the connection after its response.
std::optional<std::string> take_admin_response(ScenarioPeer& peer) {
    if (!peer.ended) return std::nullopt;
    if (peer.incoming.empty()) return "end";
    if (!peer.started) {
        peer.started = true;
        return "status:" + peer.incoming.substr(9, 3);
    }
    const auto body = peer.incoming.substr(peer.incoming.find("\r\n\r\n") + 4);
    peer.incoming.clear();
    return "body:" + body;
}

std::optional<std::string> take_line(ScenarioPeer& peer) {
    const auto end = peer.incoming.find('\n');
    if (end == std::string::npos) return end_if_closed(peer);
    const auto line = peer.incoming.substr(0, end);
    peer.incoming.erase(0, end + 1);
    return "line:" + line;
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

// Returns the word for a message; an empty word if scenarios skip it.
std::string word_of(const pgwire::Message& message) {
    pgwire::FieldReader body(message.body);
    switch (message.type) {
        case 'Q':
            return "query:" + std::string(body.text());
        case 'R':
            return "auth_ok";
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
        const auto word = word_of(*message);
        if (message->type == 'R') peer.started = true;
        peer.incoming.erase(0, message->size);
        if (!word.empty()) return word;
    }
    return end_if_closed(peer);
}

std::optional<std::string> take_startup(ScenarioPeer& endpoint) {
    const auto message = pgwire::next_startup(endpoint.incoming);
    if (!message) return end_if_closed(endpoint);
    endpoint.started = true;
    endpoint.incoming.erase(0, message->size);
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
    if (actor[0] == 'd') return take_poll(peer);
    if (actor[0] == 'o' || actor[0] == 'n') return take_admin_response(peer);
    if (actor[0] == 'u') return take_line(peer);
    const bool is_endpoint = actor.find('.') != std::string::npos;
    if (is_endpoint && !peer.started) return take_startup(peer);
    if (!is_endpoint && !peer.started && peer.incoming.substr(0, 1) == "N") {
        peer.incoming.erase(0, 1);
        return "N";
    }
    return take_pgwire_message(peer);
}

bool matches(const std::string& expected, const std::string& received) {
    const auto [kind, part] = split(expected, ':');
    const auto [received_kind, received_text] = split(received, ':');
    if (expected == "rejected:retry_after")
        return received_kind == "error" && received_text.substr(0, 6) == "53300:" && received_text[6] != '0';
    const bool is_code_alone = kind == "error" && part.size() == 5;
    const bool contains =
        kind == "query" || kind == "poll" || kind == "body" || kind == "line" || is_code_alone;
    if (!contains) return received == expected;
    return received_kind == kind && received_text.find(part) != std::string::npos;
}
