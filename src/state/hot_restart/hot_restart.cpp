#include "hot_restart/hot_restart.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <nlohmann/json.hpp>

#include "log/log.h"

namespace sloestack::hot_restart {
namespace {

using nlohmann::json;

constexpr Micros kPollTimeoutUs = 2'500'000;  // for a predecessor's welcome; the platform waits 6 s for a yes
constexpr Micros kFitting = 1'000'000;      // for the requests that hold what is over the share
constexpr Micros kLook = 10'000;
constexpr Micros kHeldBy = 300'000;  // for the other process to say that a call holds
constexpr std::size_t kMostUnread = 1024 * 1024;
constexpr std::size_t kLongestLine = 64 * 1024;
constexpr int kBacklog = 4;

// The address, where the path has room in it.
bool address_of(const std::string& path, sockaddr_un& out) {
    out = {};
    out.sun_family = AF_UNIX;
    if (path.size() >= sizeof out.sun_path) return false;
    std::memcpy(out.sun_path, path.c_str(), path.size());
    return true;
}

}  // namespace

// One end of the socket.
class Succession::Tie final : public net::ConnectionEvents {
public:
    Tie(Succession& of, evutil_socket_t fd, bool to_successor) : of_(of), to_successor_(to_successor) {
        connection_ = net::Connection::accepted(of.loop_, fd, kMostUnread, *this);
    }
    bool opened() const { return connection_ != nullptr; }
    bool to_successor() const { return to_successor_; }
    void say(const json& message) { connection_->write(message.dump() + "\n"); }

    void received() override {
        for (;;) {
            const auto bytes = connection_->unread();
            const auto end = bytes.find('\n');
            if (end == std::string_view::npos) {
                if (bytes.size() > kLongestLine) of_.over(*this);
                return;
            }
            const std::string line(bytes.substr(0, end));
            connection_->consume(end + 1);
            of_.heard(*this, line);
            if (closed_) return;
        }
    }
    void ended(net::Ending) override { of_.over(*this); }
    void close() {
        closed_ = true;
        look.clear();
    }

    Deadline look;      // whether this process fits its share by now
    Time asked_at = 0;  // the successor's hello

private:
    Succession& of_;
    bool to_successor_, closed_ = false;
    std::unique_ptr<net::Connection> connection_;
};

Succession::Succession(net::Loop& loop, Deadlines& deadlines, std::string path, Estate& estate)
    : loop_(loop), deadlines_(deadlines), path_(std::move(path)), estate_(estate) {}
Succession::~Succession() = default;

void Succession::start() {
    sockaddr_un at;
    const auto fd =
        address_of(path_, at) ? socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
    if (fd < 0) return begin();
    if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        evutil_closesocket(fd);
        return begin();
    }
    auto tie = std::make_unique<Tie>(*this, fd, false);
    if (!tie->opened()) return begin();
    tie->say({{"do", "hello"}});
    ties_.push_back(std::move(tie));
    count();
    // One that hangs must not keep the new process from serving.
    patience_.set(deadlines_, deadlines_.now() + kPollTimeoutUs, [this] {
        log::line("predecessor", "handshake timed out");
        begin();
    });
}

void Succession::begin() {
    if (std::exchange(begun_, true)) return;
    patience_.clear();
    listen();
    estate_.begin();
}

// Takes the place of whatever stands there: of a process that has gone, or of the predecessor, which has
// found its successor.
void Succession::listen() {
    sockaddr_un at;
    if (!address_of(path_, at))
        return log::line("hot restart socket unavailable", "the path is too long: " + path_);
    const auto fd = socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    unlink(path_.c_str());
    if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(fd, kBacklog) != 0) {
        log::line("hot restart socket unavailable", std::strerror(errno));
        if (fd >= 0) evutil_closesocket(fd);
        return;
    }
    listener_ = std::make_unique<net::Listener>(
        loop_, fd, [this](evutil_socket_t peer) { accepted(peer); }, [] {});
}

void Succession::accepted(evutil_socket_t fd) {
    auto tie = std::make_unique<Tie>(*this, fd, true);
    if (tie->opened()) ties_.push_back(std::move(tie));
}

bool Succession::has_successor() const {
    return std::any_of(ties_.begin(), ties_.end(),
                       [](const auto& t) { return t->to_successor() && t->asked_at > 0; });
}

void Succession::count() {
    const auto others = std::count_if(ties_.begin(), ties_.end(),
                                      [](const auto& t) { return !t->to_successor() || t->asked_at > 0; });
    estate_.shared_by(1 + static_cast<int>(others));
}

void Succession::heard(Tie& tie, const std::string& line) {
    const auto message = json::parse(line, nullptr, false);
    const auto what = message.is_object() ? message.value("do", json()) : json();
    const auto number = message.is_object() ? message.value("number", json()) : json();
    const auto member = message.is_object() ? message.value("member", json()) : json();
    if (what == "hello" && tie.to_successor()) {
        log::line("successor", "connected");
        tie.asked_at = deadlines_.now();
        count();
        for (const auto& name : estate_.banned())
            tie.say({{"do", "exclude"}, {"member", name}, {"number", 0}});
        welcome(tie);
    } else if (what == "welcome") {
        log::line("predecessor", "handover complete");
        begin();
    } else if ((what == "exclude" || what == "include") && member.is_string() &&
               number.is_number_unsigned()) {
        const bool out = what == "exclude";
        estate_.heard(out, member.get<std::string>());
        pass_on(out, member.get<std::string>(), 0, &tie);
        tie.say({{"do", "held"}, {"number", number}});
    } else if (what == "held" && number.is_number_unsigned()) {
        held_by(tie, number.get<std::uint64_t>());
    } else {
        over(tie);  // not one of ours
    }
}

// The successor may count on its share once this process keeps within its own.
void Succession::welcome(Tie& tie) {
    if (estate_.fits() || deadlines_.now() - tie.asked_at > kFitting) return tie.say({{"do", "welcome"}});
    tie.look.set(deadlines_, deadlines_.now() + kLook, [this, &tie] { welcome(tie); });
}

void Succession::over(Tie& tie) {
    const auto found =
        std::find_if(ties_.begin(), ties_.end(), [&](const auto& t) { return t.get() == &tie; });
    if (found == ties_.end()) return;
    loop_.delete_later(std::move(*found));  // it may be on the call stack
    ties_.erase(found);
    tie.close();
    log::line(tie.to_successor() ? "successor" : "predecessor", "disconnected");
    for (auto it = told_.begin(); it != told_.end();) held_by(tie, (it++)->first);
    count();
    if (!tie.to_successor()) begin();  // it may have died before its welcome
}

// To all others but the one it came from; tells to whom.
std::set<const Succession::Tie*> Succession::pass_on(bool out, const std::string& member,
                                                     std::uint64_t number, const Tie* from) {
    std::set<const Tie*> to;
    for (const auto& tie : ties_) {
        if (tie.get() == from || (tie->to_successor() && tie->asked_at == 0)) continue;
        tie->say({{"do", out ? "exclude" : "include"}, {"member", member}, {"number", number}});
        to.insert(tie.get());
    }
    return to;
}

void Succession::tell(bool out, const std::string& member, std::function<void()> done) {
    const auto number = ++last_;
    auto missing = pass_on(out, member, number, nullptr);
    if (missing.empty()) return done();
    auto& told = told_[number];
    told.missing = std::move(missing);
    told.done = std::move(done);
    told.limit.set(deadlines_, deadlines_.now() + kHeldBy, [this, number] {
        const auto given_up = told_.extract(number);
        given_up.mapped().done();
    });
}

void Succession::held_by(const Tie& tie, std::uint64_t number) {
    const auto found = told_.find(number);
    if (found == told_.end()) return;
    found->second.missing.erase(&tie);
    if (!found->second.missing.empty()) return;
    const auto held = told_.extract(found);
    held.mapped().done();
}

}  // namespace sloestack::hot_restart
