// The pure parts of the network code: parsers get whole, split, oversized and garbage input.
#include <random>

#include "check.h"
#include "config/config.h"
#include "deadlines/deadlines.h"
#include "discovery/list.h"
#include "exclusions/exclusions.h"
#include "http/request.h"
#include "http/response.h"
#include "invariant/invariant.h"
#include "metrics/metrics.h"
#include "pgwire/build.h"
#include "pgwire/statement.h"
#include "postgres/reply.h"
#include "traffic/statement.h"
#include "transport/byte_account.h"
#include "transport/quota.h"

namespace {

using namespace sloestack;
using nlohmann::json;

std::string garbage(std::mt19937& random, std::size_t size) {
    std::string out(size, '\0');
    for (auto& c : out) c = static_cast<char>(random());
    return out;
}

void frames() {
    std::string bytes;
    pgwire::Builder(bytes).query("SELECT 1").ready();
    for (std::size_t i = 0; i < 14; ++i) CHECK(!pgwire::next_message(bytes.substr(0, i)));
    const auto m = pgwire::next_message(bytes);
    CHECK(m && m->type == 'Q' && m->size == 14);
    CHECK(pgwire::next_message(std::string_view(bytes).substr(m->size))->type == 'Z');
    CHECK_THROWS(pgwire::next_message(std::string("Q\0\0\0\3", 5)), pgwire::BadMessage);
    // Refused by its length alone: guards against waiting for, and keeping, what is too large.
    CHECK_THROWS(pgwire::next_message("Q\x7f\xff\xff\xff"), pgwire::BadMessage);
    CHECK_THROWS(pgwire::next_startup(std::string("\0\1\0\0", 4)), pgwire::BadMessage);
    CHECK_THROWS(pgwire::read_startup(std::string("\0\2\0\0", 4)), pgwire::BadMessage);
    CHECK(pgwire::read_startup(std::string("\0\3\0\2", 4)).minor == 2);
}

void statements() {
    const std::string good =
        "SELECT data FROM facts WHERE code = '7f/*' "
        "/* id=9b,c=view,d=480,k=5c,cluster=2,after=1767225600123,r=1 */";
    const auto t = pgwire::read_tags(good);
    CHECK(t.id == "9b" && t.request_class == "view" && t.left_ms == 480 && t.cluster == 2 && t.repeat);
    CHECK(t.quoted == "7f/*" && t.key == "5c" && t.after_ms == 1767225600123);
    const traffic::Statement s{good, t.left_at, t.left_size};
    CHECK(s.with_time_left(12'345) == std::string(good).replace(good.find("480"), 3, "12"));
    CHECK(s.with_time_left(-1) == std::string(good).replace(good.find("480"), 3, "1"));
    for (const char* bad :
         {"SELECT 1", "/* id=1,c=v,d=1,cluster=0 */", "SELECT '1' /* c=v,d=1,cluster=0 */",
          "SELECT '1' /* id=1,d=1,cluster=0 */", "SELECT '1' /* id=1,c=v,cluster=0 */",
          "SELECT '1' /* id=1,c=v,d=1 */", "SELECT '1' /* id=1,c=v,d=-1,cluster=0 */",
          "SELECT '1' /* id=1,c=v,d=99999999999999999999,cluster=0 */",
          "SELECT '1' /* id=1,c=v,d=1,cluster=x */", "SELECT '1' /* id=1,,c=v,d=1,cluster=0 */",
          "SELECT '1' /*/", "SELECT '1 /* id=1,c=v,d=1,cluster=0 */",
          "SELECT '1' /* id=1,c=v,d=1,cluster=70000 */"})
        CHECK_THROWS(pgwire::read_tags(bad), pgwire::BadMessage);
    CHECK(pgwire::is_blank(" ;\n") && !pgwire::is_blank("x"));
    std::mt19937 random(1);
    for (int i = 0; i < 2000; ++i) {
        auto text = good;
        text[random() % text.size()] = static_cast<char>(random());
        try {
            CHECK(pgwire::read_tags(text).left_at < text.size());
        } catch (const pgwire::BadMessage&) {
        }
    }
}

void responses() {
    const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nA: b\r\n\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n" + sized;
    for (const auto& text : {sized, chunked, interim})
        for (std::size_t step = 1; step <= text.size(); ++step) {
            http::ResponseParser p;
            for (std::size_t at = 0; at < text.size();) at += p.feed(std::string_view(text).substr(at, step));
            CHECK(p.done() && p.status() == 200 && p.body() == "hello" && p.keeps_open());
        }
    http::ResponseParser more;
    CHECK(more.feed(sized + "HTTP/1.1") == sized.size());
    http::ResponseParser closed;
    closed.feed("HTTP/1.0 503 No\r\n\r\nbody");
    CHECK(!closed.done());
    closed.end_of_input();
    CHECK(closed.done() && closed.status() == 503 && !closed.keeps_open() && closed.body() == "body");
    for (const std::string& bad :
         {std::string("SSH-2.0-x\r\n"), std::string("HTTP/1.1 200 OK\r\nContent-Length: x\r\n"),
          "HTTP/1.1 200 OK\r\nX: " + std::string(20'000, 'x'), std::string("HTTP/1.1 200 OK\r\nno colon\r\n"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n")}) {
        http::ResponseParser p;
        CHECK_THROWS(p.feed(bad), http::BadResponse);
    }
    std::mt19937 random(2);
    for (int i = 0; i < 2000; ++i) {
        http::ResponseParser p;
        try {
            p.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + garbage(random, 100));
        } catch (const http::BadResponse&) {
        }
    }
}

void requests() {
    const std::string call =
        "POST /api/exclude?a=%31&id=s%2d1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    for (std::size_t cut = 0; cut < call.size(); ++cut) {
        http::RequestParser p;
        p.feed(call.substr(0, cut));
        CHECK(!p.done());
        p.feed(call.substr(cut));
        CHECK(p.done() && p.method() == "POST" && p.path() == "/api/exclude");
        CHECK(p.parameter("id") == "s-1" && p.parameter("a") == "1" && !p.parameter("b"));
    }
    for (const auto& bad :
         {std::string("GET / HTTP/2\r\n\r\n"), std::string("GET /\r\n\r\n"), std::string("\r\n\r\n"),
          std::string("get / HTTP/1.1\r\n\r\n"), std::string("GET x HTTP/1.1\r\n\r\n"),
          std::string("GET\x01"), std::string("GET / HTTP/1.1\r\nno colon\r\n\r\n"), std::string(9000, 'A'),
          std::string("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
          std::string("GET / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"),
          std::string("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
          std::string("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")}) {
        http::RequestParser p;
        CHECK_THROWS(p.feed(bad), http::BadRequest);
    }
    http::RequestParser odd;
    odd.feed("GET /?id=%4 HTTP/1.0\n\n");
    CHECK_THROWS(odd.parameter("id"), http::BadRequest);
    std::mt19937 random(3);
    for (int i = 0; i < 2000; ++i) {
        http::RequestParser p;
        try {
            p.feed("GET / HTTP/1.1\r\n" + garbage(random, 50));
            p.feed(garbage(random, 50));
        } catch (const http::BadRequest&) {
        }
    }
}

// What a follower of the list reads, as NAME and state.
struct Follower final : traffic::EndpointListListener {
    std::map<std::string, traffic::ListedEndpoint> now;
    void on_endpoint_list(sloestack::decision::EndpointListKind,
                          std::vector<traffic::ListedEndpoint> entries) override {
        for (auto& e : entries) now[e.name] = e;
    }
    void on_poll_failed(const sloestack::decision::FailedPoll&) override {}
    sloestack::decision::EndpointState of(const std::string& name) const {
        return now.at(name).endpoint.state;
    }
};

void banned() {
    using sloestack::decision::EndpointListKind;
    using sloestack::decision::EndpointState;
    const auto entry = [](const char* name, EndpointState state, sloestack::decision::Time started = 0) {
        traffic::ListedEndpoint e;
        e.name = name;
        e.endpoint.state = state;
        e.endpoint.started_at = started;
        return e;
    };
    Follower follower;
    exclusions::Bans bans(follower);
    // Banned before it is listed at all, as after an upgrade: what is known from the start is laid over too.
    bans.ban("a");
    bans.on_endpoint_list(EndpointListKind::cached,
                          {entry("a", EndpointState::ready), entry("b", EndpointState::ready)});
    CHECK(follower.of("a") == EndpointState::draining && follower.of("b") == EndpointState::ready);
    CHECK(bans.listed_members() == 2 && bans.listed_and_banned() == 1);
    bans.on_endpoint_list(EndpointListKind::changes, {entry("a", EndpointState::removed)});
    CHECK(follower.of("a") == EndpointState::removed && bans.listed_and_banned() == 0);
    bans.on_endpoint_list(EndpointListKind::changes, {entry("a", EndpointState::ready, 77)});
    CHECK(follower.of("a") == EndpointState::draining);
    // Discovery's present word comes with the call back, the cold start included.
    bans.lift("a");
    CHECK(follower.of("a") == EndpointState::ready && follower.now.at("a").endpoint.started_at == 77);
    bans.ban("b");
    bans.on_endpoint_list(EndpointListKind::complete,
                          {entry("a", EndpointState::ready), entry("b", EndpointState::draining)});
    bans.lift("b");
    CHECK(follower.of("b") == EndpointState::draining);
}

// One total, first come first served: guards the memory, and large statements against waiting for ever
// behind smaller ones that fit in between.
void room() {
    net::Room room(100);
    int a = 0, b = 0, c = 0;
    auto first = room.take(80, &a);
    CHECK(first && room.taken() == 80);
    CHECK(!room.take(50, &b) && !room.take(10, &c));
    first.reset();
    CHECK(!room.take(10, &c));
    auto second = room.take(50, &b);
    CHECK(second && room.take(10, &c));
    CHECK(!room.take(200, &a));
    second.reset();
    CHECK(room.take(200, &a));  // alone, even what exceeds the total
    // Who leaves the queue lets the next one in.
    first = room.take(100, &a);
    CHECK(first && !room.take(90, &b) && !room.take(1, &c));
    first.reset();
    room.leave(&b);
    CHECK(room.take(1, &c));
}

void figures() {
    metrics::Numbers n({"view", "change"});
    n.answered(0, metrics::Numbers::ok);
    n.answered(1, metrics::Numbers::shed);
    n.answered(-1, metrics::Numbers::errors);
    n.tried(0), n.tried(0), n.tried(2);
    n.given_up(1, sloestack::decision::RejectionReason::no_primary),
        n.given_up(2, sloestack::decision::RejectionReason::slow_start);
    n.ended(0, sloestack::decision::Outcome::timeout), n.ended(0, sloestack::decision::Outcome::timeout);
    const auto read = json::parse(n.json({3, 2, 1}));
    CHECK(read["responses"]["view"]["ok"] == 1 && read["responses"]["view"]["errors"] == 0);
    CHECK(read["responses"]["change"]["shed"] == 1 && read["responses"]["change"]["tries"] == 0);
    CHECK(read["tries"] == 2 && read["active"] == 3 && read["pool_size"] == 2 && read["pool_ejected"] == 1);
    CHECK(read["reasons"]["change"]["no_primary"] == 1 && read["reasons"]["view"]["no_primary"] == 0);
    CHECK(read["reasons"]["view"].size() == sloestack::decision::kRejectionReasonCount);
    CHECK(read["results"]["view"]["timeout"] == 2 && read["results"]["change"]["ok"] == 0);
    CHECK(read["results"]["view"].size() == sloestack::decision::kOutcomeCount);
    CHECK(n.counted() == 7);
}

postgres::Reply reply_to(const std::string& bytes, bool& whole) {
    postgres::Reply out;
    std::string_view left = bytes;
    whole = false;
    while (const auto m = pgwire::next_message(left, [&](char type) { return out.longest(type); })) {
        whole = out.take(*m);
        left.remove_prefix(m->size);
    }
    return out;
}

void replies() {
    using sloestack::decision::Outcome;
    using sloestack::decision::Role;
    std::string bytes;
    bool whole = false;
    pgwire::Builder(bytes)
        .row_description("data", 17, true)
        .data_row("v")
        .complete("SELECT 1")
        .parameter("role", "primary")
        .parameter("applied_ms", "1767225600123")
        .parameter("load", "x0=1767225600.5,x1=0,active=7")
        .ready();
    auto r = reply_to(bytes, whole);
    CHECK(whole && r.answer().outcome == Outcome::ok && r.answer().value->bytes == "v" &&
          r.answer().value->type == 17);
    CHECK(r.answer().value->is_binary && r.answer().value->command_tag == "SELECT 1" &&
          r.answer().value->column == "data");
    CHECK(r.answer().status.role == Role::primary && r.answer().status.position == 1767225600123000);
    CHECK(r.answer().reported_status.role == Role::replica &&
          r.answer().reported_status.position == 1767225600500000);
    // A report that cannot be read in part tells nothing at all.
    for (const char* bad : {"x0=1767225600.5,x1=2", "x0=1767225600.5,,x1=1", "x0=1767225600.5,inflight=-1",
                            "x0=1767225600.5,x1", "x0=1767225600.5,x1=nan", "x0=inf"})
        CHECK(!upstream::read_load(bad).position && upstream::read_load(bad).role == Role::unknown);
    for (const auto& [code, outcome] : {std::pair{"25006", Outcome::not_eligible},
                                        {"72000", Outcome::not_eligible},
                                        {"53300", Outcome::overloaded},
                                        {"XX000", Outcome::error},
                                        {"08P01", Outcome::error}}) {
        bytes.clear();
        pgwire::Builder(bytes).error("ERROR", code, "x").ready();
        CHECK(reply_to(bytes, whole).answer().outcome == outcome && whole);
    }
    // An end without a row serves nothing: guards against an answer that no member made.
    bytes.clear();
    pgwire::Builder(bytes).complete("SELECT 0").ready();
    CHECK(reply_to(bytes, whole).answer().outcome == Outcome::error);
    bytes.clear();
    pgwire::Builder(bytes).row_description("data", 17, true).data_row("v");
    CHECK(!reply_to(bytes, whole).answer().outcome && !whole);
    bytes.clear();
    pgwire::Builder(bytes).ready();
    CHECK_THROWS(reply_to(bytes, whole), pgwire::BadMessage);
    // Refused by type or length before the rest is there: guards against waiting for what will be no answer.
    const auto row = [](const char* tail, std::size_t size) {
        std::string out;
        pgwire::Builder(out).row_description("data", 17, true);
        return out + std::string(tail, size);
    };
    for (const std::string& bad :
         {std::string("x"), std::string("D"), std::string("Z"), row("T", 1), row("Z", 1),
          row("D\xc0\0\0\0", 5), row("D\0\x60\0\0", 5), row("D\0\0\0\xb\0\1\0\0\0\2v", 12),
          row("D\0\0\0\xb\0\1\0\0\0\0v", 12), row("D\0\0\0\xb\0\1\xff\xff\xff\xffv", 12),
          row("D\0\0\0\xb\0\1\0\0\0\1vD", 13), row("C\0\0\0\6a\0Z\0\0\0\5x", 13)})
        CHECK_THROWS(reply_to(bad, whole), pgwire::BadMessage);
    // A large row is known by its head, whose lengths must agree.
    const auto begun = [&](const std::string& head, std::size_t size) {
        auto reply = reply_to(row("", 0), whole);
        return reply.begin_row(head, size);
    };
    CHECK(begun(std::string("D\0\1\x86\xaa\0\1\0\1\x86\xa0", 11), 100'011) == 100'000);
    CHECK_THROWS(begun(std::string("D\0\1\x86\xaa\0\1\0\1\x86\xa1", 11), 100'011), pgwire::BadMessage);
    CHECK_THROWS(begun(std::string("D\0\1\x86\xaa\0\2\0\1\x86\xa0", 11), 100'011), pgwire::BadMessage);
    CHECK_THROWS(begun(std::string("D\0\1\x86\xaa\0\1\xff\xff\xff\xff", 11), 100'011), pgwire::BadMessage);
    std::mt19937 random(3);
    for (int i = 0; i < 5000; ++i) {
        const auto body = garbage(random, random() % 40);
        try {
            postgres::Reply().take({"STDCEINZR"[random() % 9], body, body.size()});
        } catch (const pgwire::BadMessage&) {
        }
    }
}

void lists() {
    discovery::Reader reader({"a", "b"});
    const auto list = reader.read(std::string(
        R"({"revision":41,"complete":true,"members":[{"id":"s-5be2a07c","host_port":"10.1.0.18:5433",
        "locality":"b","flavor":"m2","cell":3,"phase":"terminating","size":1.0,"up_since_ms":12,
        "role":"primary"}]})"));
    CHECK(list.revision == 41 && list.complete && list.members.size() == 1);
    const auto& s = list.members[0].endpoint;
    CHECK(s.endpoint == 0x5be2a07c && s.zone == 1 && s.replica_group == 3 && s.started_at == 12'000 &&
          s.listed_primary);
    CHECK(s.state == sloestack::decision::EndpointState::draining &&
          list.members[0].address == "10.1.0.18:5433");
    for (const char* bad : {"", "{}", "[]", R"({"revision":1,"complete":true,"members":[{}]})",
                            R"({"revision":1,"complete":true,"members":[{"id":"x","phase":"odd"}]})",
                            R"({"revision":1,"complete":true,"members":[{"id":7,"phase":"gone"}]})"})
        CHECK_THROWS(reader.read(std::string(bad)), std::runtime_error);
    discovery::Numbers numbers;
    // Guards against growth where members are replaced for good, and against forgetting one that is listed.
    CHECK(numbers.of("kept-00000009") == 9);
    for (std::uint32_t i = 0; i < 3000; ++i) {
        const auto name = "gone-" + std::to_string(10'000'000 + i);
        numbers.of(name);
        numbers.gone(name);
    }
    CHECK(numbers.size() == discovery::Numbers::kMostGone + 1 && numbers.of("kept-00000009") == 9);
    CHECK(numbers.of("a-00000001") == 1 && numbers.of("b-00000001") == 2 && numbers.of("a-00000001") == 1);
}

void configuration() {
    CHECK(
        config::flatten(json::parse(R"({"a":{"b":[{"c":true},{"c":"x y"}],"d":[1,2.5],"e":[]},"f":null})")) ==
        "a.b.count=2\na.b.0.c=true\na.b.1.c=x_y\na.d=1,2.5\na.e=\nf=\n");
    const auto message = [](const json& file, const char* listen = nullptr) -> std::string {
        try {
            config::read(file, [&](const char* name) {
                return std::string(name) == "EDGE_LISTEN" ? listen : nullptr;
            });
        } catch (const config::BadConfig& error) {
            return error.what();
        }
        return "accepted";
    };
    json file{{"name", "n"}, {"discovery", "127.0.0.1:1"}, {"seed", "xyz"}};
    CHECK(message(file).find("EDGE_LISTEN") == 0);
    CHECK(message(file, "10.0.0.4").find("EDGE_LISTEN") == 0);
    CHECK(message(file, "10.0.0.4:70000").find("EDGE_LISTEN") == 0);
    CHECK(message(file, "10.0.0.4:5433").find("seed") == 0);
    file["seed"] = "8c1f30d27a5be964";
    CHECK(message(file, "10.0.0.4:5433").find("limits") == 0);
    file["limits"] = {{"sockets", "many"}};
    CHECK(message(file, "10.0.0.4:5433").find("limits.sockets") == 0);
    file["limits"] = {{"sockets", 1024}};
    CHECK(message(file, "10.0.0.4:5433").find("limits.memory_mb") == 0);
    file["limits"]["memory_mb"] = 32;
    CHECK(message(file, "10.0.0.4:5433").find("settings") == 0);
    file["settings"] = {{"classes", "none"}};
    CHECK(message(file, "10.0.0.4:5433").find("settings: classes.count") == 0);
}

void deadlines() {
    const Clock clock;
    Deadlines all(clock);
    std::string order;
    const Time past = clock.now() - 1000;
    Deadline taken_back;
    taken_back.set(all, past, [&] { order += "x"; });
    all.add(past, [&] { order += "b"; });
    all.add(past - 1, [&] {
        order += "a";
        taken_back.clear();
        all.add(past, [&] { order += "c"; });  // due already, but for the next sweep
    });
    all.add(clock.now() + 3'600'000'000, [&] { order += "never"; });
    all.sweep();
    CHECK(order == "ab");
    all.sweep();
    CHECK(order == "abc" && all.size() == 1);
}

void quotas() {
    net::Quota two(2);
    auto a = two.take();
    auto b = two.take();
    CHECK(a && b && two.full() && !two.take());
    b = net::Slot();
    CHECK(two.taken() == 1);
    { const auto c = std::move(a); }
    CHECK(two.taken() == 0 && !a);
    net::ByteAccount account(10);
    account.add(11);
    CHECK(account.over());
    account.remove(1);
    CHECK(!account.over() && account.held() == 10);
    constexpr auto all = net::share(1024);
    static_assert(all.clients + all.overflow + all.members < 1024 - 16, "room for the process's own");
}

void invariants() {
    static invariant::Counter counter("test");  // counters stay: they are linked for the report
    CHECK(counter.holds(true) && counter.broken() == 0);
    CHECK(!counter.holds(false) && counter.broken() == 1);
}

}  // namespace

int main() {
    frames();
    statements();
    responses();
    requests();
    banned();
    room();
    figures();
    replies();
    lists();
    configuration();
    deadlines();
    quotas();
    invariants();
    std::puts("13 passed, 0 failed");
}
