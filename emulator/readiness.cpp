#include "emulator/readiness.h"

#include "pgwire/build.h"
#include "pgwire/frame.h"

namespace emulator {
namespace {

namespace net = sloestack::net;
namespace pgwire = sloestack::pgwire;
constexpr Micros kLookAgain = 20'000;
constexpr Micros kPatience = 1'000'000;
constexpr std::size_t kMostUnread = 64 * 1024;

}  // namespace

Readiness::Readiness(const Line::Host& host, const Edge& edge, const sockaddr_in& at,
                     std::function<void()> ready)
    : host_(host), edge_(edge), at_(at), ready_(std::move(ready)) {
    again_.set(host_.deadlines, host_.deadlines.now(), [this] { open(); });
}

void Readiness::open() {
    again_.set(host_.deadlines, host_.deadlines.now() + kPatience, [this] { open(); });
    line_ = std::make_unique<Line>(host_, edge_, at_, kMostUnread, *this);
}

void Readiness::connected() {
    std::string out;
    pgwire::Builder(out).startup_message("portal", "crm").query("");
    line_->write(out);
}

void Readiness::received() {
    try {
        while (const auto m = pgwire::next_message(line_->unread())) {
            if (m->type == 'I') {
                again_.clear();
                line_.reset();
                return ready_();
            }
            if (m->type == 'E') return ended(net::ConnectionEnd::error);
            line_->consume(m->size);
        }
    } catch (const pgwire::ProtocolError&) {
        ended(net::ConnectionEnd::error);
    }
}

void Readiness::ended(net::ConnectionEnd) {
    line_.reset();
    again_.set(host_.deadlines, host_.deadlines.now() + kLookAgain, [this] { open(); });
}

}  // namespace emulator
