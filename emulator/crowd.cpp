#include "emulator/crowd.h"

#include <string>

#include "pgwire/build.h"

namespace emulator {
namespace {

namespace net = sloestack::net;
namespace pgwire = sloestack::pgwire;

constexpr std::size_t kMaxUnreadBytes = std::size_t{64} * 1024;
constexpr sloestack::Micros kReconnectDelayUs = 500'000;

// Returns one of: nothing, a start-up message, a part of one, and one with a part of a query.
std::string draw_input(Random& random) {
    std::string startup;
    pgwire::Builder(startup).startup_message("portal", "crm");
    std::string query;
    pgwire::Builder(query).query("SELECT data FROM facts");
    switch (random.between(0, 3)) {
        case 0:
            return "";
        case 1:
            return startup;
        case 2:
            return startup.substr(0, startup.size() / 2);
        default:
            return startup + query.substr(0, query.size() / 2);
    }
}

}  // namespace

class Crowd::Member final : public net::ConnectionEvents {
public:
    explicit Member(Crowd& crowd) : crowd_(crowd), input_(draw_input(crowd.random_)) { open(); }
    void connected() override {
        if (!input_.empty()) connection_->write(input_);
    }
    void received() override { connection_->consume(connection_->unread_bytes()); }
    void ended(net::ConnectionEnd) override {
        crowd_.loop_.delete_later(std::move(connection_));
        reconnect_.set(crowd_.deadlines_, crowd_.deadlines_.now() + kReconnectDelayUs, [this] { open(); });
    }

private:
    void open() {
        connection_ = net::Connection::open(crowd_.loop_, crowd_.proxy_, kMaxUnreadBytes, *this);
        if (!connection_) ended(net::ConnectionEnd::error);
    }

    Crowd& crowd_;
    std::string input_;
    std::unique_ptr<net::Connection> connection_;
    sloestack::Deadline reconnect_;
};

Crowd::Crowd(net::Loop& loop, sloestack::Deadlines& deadlines, const sockaddr_in& proxy, int size,
             std::uint64_t seed)
    : loop_(loop), deadlines_(deadlines), proxy_(proxy), random_(seed) {
    for (int i = 0; i < size; ++i) members_.push_back(std::make_unique<Member>(*this));
}

Crowd::~Crowd() = default;

}  // namespace emulator
