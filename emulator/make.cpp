#include "emulator/make.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <deque>
#include <functional>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

#include "emulator/load.h"
#include "emulator/values.h"
#include "pgwire/build.h"
#include "tds/login.h"
#include "tds/request.h"
#include "tds/token.h"
#include "writer/writer.h"

namespace emulator {
namespace {

namespace pcap = sloestack::pcap;
namespace writer = sloestack::writer;
namespace pgwire = sloestack::pgwire;
namespace tds = sloestack::tds;
using Side = writer::Side;

constexpr std::pair<const char*, Damage> kNames[] = {{"cut_head", Damage::cut_head},
                                                     {"cut_tail", Damage::cut_tail},
                                                     {"cut_length", Damage::cut_length},
                                                     {"cut_answer", Damage::cut_answer},
                                                     {"cut_answer_length", Damage::cut_answer_length},
                                                     {"cut_value", Damage::cut_value},
                                                     {"hole", Damage::hole},
                                                     {"hole_answer", Damage::hole_answer},
                                                     {"retransmit", Damage::retransmit},
                                                     {"retransmit_other", Damage::retransmit_other},
                                                     {"overlap", Damage::overlap},
                                                     {"reorder", Damage::reorder},
                                                     {"backwards_1us", Damage::backwards_1us},
                                                     {"backwards_2s", Damage::backwards_2s},
                                                     {"backwards_stream", Damage::backwards_stream},
                                                     {"rst", Damage::rst},
                                                     {"lost_answer", Damage::lost_answer},
                                                     {"half_open", Damage::half_open},
                                                     {"port_reuse", Damage::port_reuse},
                                                     {"two_ids", Damage::two_ids},
                                                     {"wrap", Damage::wrap},
                                                     {"snap", Damage::snap},
                                                     {"vlans", Damage::vlans},
                                                     {"truncate", Damage::truncate}};
constexpr int kMostOfOne = 10'000;
constexpr std::uint32_t kStruck = 2;       // the third request of a connection is the one that is struck
constexpr std::int64_t kIdle = 8'000'000;  // a client closes then; the proxy would after 10 s
constexpr std::int64_t kTwoSeconds = 2'000'000;
constexpr int kEthernet = 1;  // the link type of the files made here
constexpr std::uint16_t kFirstPort = 10'000, kLastPort = 60'000;
constexpr std::uint32_t kNearWrap = 0xffffff00;  // some 256 bytes before the sequence numbers start anew

// Stands between the writer and the file, and strikes the packets of the call that it is armed for.
class Striker final : public pcap::Sink {
public:
    Striker(pcap::Sink& out, std::uint16_t server_port) : out_(out), server_port_(server_port) {}
    void arm(std::optional<Damage> damage) {
        damage_ = damage;
        payloads_ = 0;
        held_.reset();
    }
    void silence(std::uint16_t port) { silent_.insert(port); }
    void speak(std::uint16_t port) { silent_.erase(port); }
    void shift(std::uint16_t port, std::int64_t by_us) { shifted_[port] = by_us; }

    void frame(std::int64_t time_ns, std::string_view bytes, std::uint32_t) override {
        pcap::Segment s;
        pcap::decode(kEthernet, time_ns / 1000, bytes, s);
        const auto port = s.from.port == server_port_ ? s.to.port : s.from.port;
        if (silent_.count(port)) return;
        if (const auto by = shifted_.find(port); by != shifted_.end()) time_ns += by->second * 1000;
        const auto before = std::exchange(last_ns_, time_ns);
        if (!damage_ || (s.payload.empty() && !held_)) return out_.frame(time_ns, bytes, 0);
        last_ns_ = before;
        strike(time_ns, bytes, s, port);
    }

private:
    void cut(std::int64_t time_ns, pcap::Segment s, std::uint16_t port, std::size_t keep) {
        s.payload = s.payload.substr(0, keep);
        if (!s.payload.empty()) out_.frame(time_ns, pcap::build(s), 0);
        silence(port);
    }
    void strike(std::int64_t time_ns, std::string_view bytes, const pcap::Segment& s, std::uint16_t port) {
        const int nth = payloads_++;
        const auto plain = [&] { out_.frame(time_ns, bytes, 0); };
        switch (*damage_) {
            case Damage::cut_tail:
            case Damage::cut_answer:
                return cut(time_ns, s, port, s.payload.size() / 2);
            case Damage::cut_length:
            case Damage::cut_answer_length:
                return cut(time_ns, s, port, 3);
            case Damage::cut_value:
                return nth == 1 ? cut(time_ns, s, port, s.payload.size() / 2) : plain();
            case Damage::hole:
            case Damage::hole_answer:
                return nth == 0 ? void() : plain();
            case Damage::retransmit:
                plain();
                return plain();
            case Damage::retransmit_other: {
                plain();
                std::string other(s.payload);
                other.back() = static_cast<char>(other.back() ^ 0x55);
                auto again = s;
                again.payload = other;
                return out_.frame(time_ns, pcap::build(again), 0);
            }
            case Damage::overlap: {
                plain();
                auto again = s;
                const auto half = s.payload.size() / 2;
                again.payload = s.payload.substr(half);
                again.seq += static_cast<std::uint32_t>(half);
                return out_.frame(time_ns, pcap::build(again), 0);
            }
            case Damage::reorder:
                if (!held_ && nth == 0) {
                    held_ = std::string(bytes);
                    return;
                }
                plain();
                if (held_) out_.frame(time_ns, *held_, 0);
                return held_.reset();
            case Damage::backwards_1us:
                return out_.frame(nth == 0 ? last_ns_ - 1000 : time_ns, bytes, 0);
            case Damage::backwards_2s:
                return out_.frame(nth == 0 ? last_ns_ - kTwoSeconds * 1000 : time_ns, bytes, 0);
            case Damage::snap:
                if (nth > 0) return plain();
                return out_.frame(time_ns, bytes.substr(0, bytes.size() - s.payload.size() / 2),
                                  static_cast<std::uint32_t>(bytes.size()));
            default:
                return plain();
        }
    }
    pcap::Sink& out_;
    std::uint16_t server_port_;
    std::optional<Damage> damage_;
    int payloads_ = 0;
    std::int64_t last_ns_ = 0;  // time of the packet before this one
    std::optional<std::string> held_;
    std::set<std::uint16_t> silent_;
    std::map<std::uint16_t, std::int64_t> shifted_;
};

bool of_answer(Damage d) {
    return d == Damage::cut_answer || d == Damage::cut_answer_length || d == Damage::cut_value ||
           d == Damage::hole_answer || d == Damage::reorder || d == Damage::snap;
}
bool of_file(Damage d) { return d == Damage::vlans || d == Damage::truncate; }
bool wants_large(Damage d) { return d == Damage::cut_value || d == Damage::reorder || d == Damage::snap; }

// How a dialect's conversation looks on the wire.
struct Form {
    std::uint16_t port = 0;  // of the server
    std::vector<std::pair<Side, std::string>> opening;
    std::string (*request)(const Request&) = nullptr;
    std::string (*answer)(std::string_view value, bool write) = nullptr;
};

std::string tds_message(tds::PacketType type, const std::string& payload) {
    std::string out;
    tds::PacketWriter(out).message(type, payload);
    return out;
}

Form form_of(const std::string& dialect) {
    Form out;
    if (dialect == "postgres") {
        std::string up, greeting;
        pgwire::Builder(up).startup_message("portal", "crm");
        pgwire::Builder(greeting).startup_response();
        out.port = 5433;
        out.opening = {{Side::client, up}, {Side::server, greeting}};
        out.request = [](const Request& q) {
            std::string message;
            pgwire::Builder(message).query(build_statement(q));
            return message;
        };
        out.answer = build_row_response;
        return out;
    }
    if (dialect != "tds")
        throw std::invalid_argument("\"" + dialect + "\" is no dialect; there are postgres and tds");
    tds::Prelogin prelogin;
    prelogin.encryption = tds::Encryption::not_supported;
    tds::Login login;
    login.user = "portal";
    login.database = "crm";
    std::string welcome;
    tds::TokenBuilder(welcome)
        .env_change({tds::EnvChange::packet_size, "4096", "4096"})
        .login_ack({tds::kVersion74, "sloestack", 1})
        .done({});
    out.port = 1433;
    out.opening = {{Side::client, tds_message(tds::PacketType::prelogin, tds::build_prelogin(prelogin))},
                   {Side::server, tds_message(tds::PacketType::result, tds::build_prelogin(prelogin))},
                   {Side::client, tds_message(tds::PacketType::login, tds::build_login(login))},
                   {Side::server, tds_message(tds::PacketType::result, welcome)}};
    out.request = [](const Request& q) {
        return tds_message(tds::PacketType::batch, tds::build_batch(build_tds_statement(q)));
    };
    out.answer = [](std::string_view value, bool) {
        return tds_message(tds::PacketType::result, build_tds_row_response(value));
    };
    return out;
}

// A code whose value is beyond what fits one packet by far.
const std::string& large_code() {
    static const std::string code = [] {
        for (std::uint64_t i = 1;; ++i)
            if (auto c = hex16(i); stored_value(c).size() > 50'000) return c;
    }();
    return code;
}

class Maker {
public:
    Maker(const MakeSettings& settings, pcap::Sink& out)
        : settings_(settings),
          form_(form_of(settings.dialect)),
          strike_(out, form_.port),
          drawing_(settings.seed, settings.groups),
          writer_(tagged(settings), strike_) {
        for (const auto d : settings.damage)
            if (!of_file(d)) plans_.push_back(d);
    }
    RecordingReport run() {
        auto& random = drawing_.random();
        double at = 0;
        const auto end = settings_.begins_us + settings_.length_us;
        for (;;) {
            at += random.exponential(1e6 / settings_.rate);
            const auto now = settings_.begins_us + static_cast<std::int64_t>(at);
            if (now >= end) break;
            play(now);
            ask(now);
        }
        play(end + kTwoSeconds);
        for (auto& c : connections_)
            if (c.open) writer_.finish(c.number, Side::client, last_);
        made_.unapplied_damage.assign(plans_.begin(), plans_.end());
        return made_;
    }

private:
    struct Connection {
        std::uint64_t number = 0;
        std::uint16_t port = 0;
        std::int64_t free_at = 0;
        std::uint32_t asked = 0;
        std::optional<Damage> plan;
        bool open = true;
    };
    static writer::Settings tagged(const MakeSettings& s) {
        writer::Settings out;
        out.seed = s.seed;
        if (std::find(s.damage.begin(), s.damage.end(), Damage::vlans) != s.damage.end()) {
            out.vlan_client = 10;
            out.vlan_server = 20;
        }
        return out;
    }
    void at(std::int64_t when, std::function<void()> what) { events_.emplace(when, std::move(what)); }
    void play(std::int64_t until) {
        while (!events_.empty() && events_.begin()->first <= until) {
            auto node = events_.extract(events_.begin());
            last_ = std::max(last_, node.key());
            node.mapped()();
        }
        last_ = std::max(last_, until);
    }
    pcap::Endpoint address(std::uint8_t last, std::uint16_t port) const {
        pcap::Endpoint e;
        e.address = {10, 0, 0, last};
        e.port = port;
        return e;
    }
    Connection& open(std::int64_t now) {
        auto& c = connections_.emplace_back();
        c.number = ++made_.connections;
        if (!plans_.empty() && c.number > 1) {
            c.plan = plans_.front();
            plans_.pop_front();
        }
        const bool again = c.plan == Damage::port_reuse && free_port_;
        c.port = again ? *free_port_ : next_port();
        used_.insert(c.port);
        if (c.plan == Damage::port_reuse && !again) {
            plans_.push_back(*c.plan);  // no port has been used before
            c.plan.reset();
        }
        strike_.speak(c.port);
        if (c.plan == Damage::backwards_stream) strike_.shift(c.port, -kTwoSeconds);
        if (c.plan == Damage::wrap) writer_.set_first_sequence(kNearWrap, kNearWrap);
        if (c.plan == Damage::half_open) {
            pcap::Segment syn;
            syn.from = address(9, next_port());
            syn.to = address(4, form_.port);
            syn.flags = pcap::flag::syn;
            strike_.frame(now * 1000, pcap::build(syn), 0);
        }
        if (c.plan == Damage::cut_head) {
            strike_.silence(c.port);
            cut_heads_.insert(c.number);
        }
        writer_.open(c.number, address(2, c.port), address(4, form_.port), now);
        auto when = now;
        for (const auto& [side, bytes] : form_.opening) {
            at(when, [this, number = c.number, side = side, bytes = bytes, when] {
                writer_.data(number, side, bytes, when);
            });
            when += 50;
        }
        c.free_at = now + 200;
        return c;
    }
    std::uint16_t next_port() {
        do port_ = port_ >= kLastPort ? kFirstPort : static_cast<std::uint16_t>(port_ + 1);
        while (!used_.insert(port_).second);
        return port_;
    }
    // The connection that was free first keeps the others idle, so that some of them close.
    Connection& free_one(std::int64_t now) {
        if (connections_.size() < settings_.clients) return open(now);
        // Many clients: each in its turn, so that none stands idle for longer than it must.
        if (settings_.clients > 0)
            connections_.splice(connections_.end(), connections_, connections_.begin());
        for (auto& c : connections_) {
            if (!c.open || c.free_at > now) continue;
            if (now - c.free_at > kIdle) {
                writer_.finish(c.number, Side::client, now);
                free_port_ = c.port;
                used_.erase(c.port);
                c.open = false;
                continue;
            }
            return c;
        }
        connections_.remove_if([](auto& c) { return !c.open; });
        return open(now);
    }
    void ask(std::int64_t now) {
        auto q = drawing_.next();
        auto& c = free_one(now);
        auto when = std::max(now, c.free_at);
        std::optional<Damage> struck;
        if (c.plan && c.asked == kStruck) struck = std::exchange(c.plan, std::nullopt);
        if (struck && (wants_large(*struck) || *struck == Damage::lost_answer)) {
            while ((q.request_class == 2) != (*struck == Damage::lost_answer)) q = drawing_.next();
            if (wants_large(*struck)) q.code = large_code();
        }
        exchange(c, q, when, struck);
        if (struck != Damage::two_ids) return;
        auto& other = open(when);
        // The same id, asked while the first is still open, on another connection.
        auto twin = q;
        if (!twin.key.empty()) twin.key = hex16(drawing_.random().next());
        exchange(other, twin, when + 300, std::nullopt);
    }
    void exchange(Connection& c, const Request& q, std::int64_t when, std::optional<Damage> struck) {
        ++made_.requests;
        ++c.asked;
        auto& random = drawing_.random();
        const auto takes =
            1000 + static_cast<std::int64_t>(random.exponential(q.request_class == 2 ? 25'000 : 9'000));
        const auto number = c.number;
        const auto port = c.port;
        c.free_at = when + takes + random.between(500, 4000);
        const auto request = form_.request(q);
        const bool write = kClasses[q.request_class].write;
        const auto answer = form_.answer(write ? q.data : stored_value(q.code), write);
        if (struck == Damage::cut_head) struck.reset();
        at(when, [this, number, port, request, struck, when] {
            const bool mine = struck && !of_answer(*struck);
            strike_.arm(mine ? struck : std::nullopt);
            writer_.data(number, Side::client, request, when);
            strike_.arm(std::nullopt);
            if (struck == Damage::lost_answer) strike_.silence(port);
        });
        if (struck == Damage::rst) {
            c.open = false;
            used_.erase(port);
            at(when + 200, [this, number, when] { writer_.reset(number, Side::server, when + 200); });
        }
        at(when + takes, [this, number, answer, struck, when, takes] {
            strike_.arm(struck && of_answer(*struck) ? struck : std::nullopt);
            writer_.data(number, Side::server, answer, when + takes);
            strike_.arm(std::nullopt);
        });
        // A stream that is silent from its head speaks up behind its third answer: the file begins there.
        if (c.asked == kStruck + 1 && cut_heads_.count(number))
            at(when + takes, [this, port] { strike_.speak(port); });
    }

    MakeSettings settings_;
    Form form_;
    Striker strike_;
    Drawing drawing_;
    writer::Writer writer_;
    std::deque<Damage> plans_;
    std::list<Connection> connections_;
    std::multimap<std::int64_t, std::function<void()>> events_;
    std::set<std::uint64_t> cut_heads_;
    std::set<std::uint16_t> used_;  // ports of open connections
    std::optional<std::uint16_t> free_port_;
    std::uint16_t port_ = kFirstPort;
    std::int64_t last_ = 0;
    RecordingReport made_;
};

}  // namespace

std::vector<Damage> parse_damage(const std::string& text) {
    std::vector<Damage> out;
    for (std::size_t from = 0; from < text.size();) {
        const auto comma = std::min(text.find(',', from), text.size());
        const auto word = text.substr(from, comma - from);
        const auto star = word.find('*');
        const auto name = word.substr(0, star);
        const auto* found =
            std::find_if(std::begin(kNames), std::end(kNames), [&](auto& n) { return name == n.first; });
        if (found == std::end(kNames))
            throw std::invalid_argument("\"" + name + "\" is no damage; there are " + damage_names());
        int count = 1;
        if (star != std::string::npos) {
            const auto digits = word.substr(star + 1);
            const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), count);
            if (error != std::errc() || end != digits.data() + digits.size() || count < 1 ||
                count > kMostOfOne)
                throw std::invalid_argument("\"" + word + "\": how often must lie between 1 and 10000");
        }
        out.insert(out.end(), static_cast<std::size_t>(count), found->second);
        from = comma + 1;
    }
    return out;
}

std::string damage_names() {
    std::string out;
    for (const auto& n : kNames) out += (out.empty() ? "" : ", ") + std::string(n.first);
    return out;
}

RecordingReport make(const MakeSettings& settings, sloestack::pcap::Sink& out) {
    return Maker(settings, out).run();
}

}  // namespace emulator
