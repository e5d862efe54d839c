#include "emulator/readiness.h"

#include "pgwire/build.h"
#include "pgwire/frame.h"

namespace emulator {
namespace {

namespace net = sloestack::net;
namespace pgwire = sloestack::pgwire;
constexpr Micros kRetryDelay = 20'000;
constexpr Micros kResponseTimeout = 1'000'000;
constexpr std::size_t kMaxUnreadBytes = 64 * 1024;

}  // namespace

Readiness::Readiness(const Line::Host& host, const Edge& edge, const sockaddr_in& at,
                     std::function<void()> ready)
    : host_(host), edge_(edge), at_(at), ready_(std::move(ready)) {
    retry_.set(host_.deadlines, host_.deadlines.now(), [this] { open(); });
}

void Readiness::open() {
    retry_.set(host_.deadlines, host_.deadlines.now() + kResponseTimeout, [this] { open(); });
    line_ = std::make_unique<Line>(host_, edge_, at_, kMaxUnreadBytes, *this);
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
                retry_.clear();
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
    retry_.set(host_.deadlines, host_.deadlines.now() + kRetryDelay, [this] { open(); });
}

}  // namespace emulator
