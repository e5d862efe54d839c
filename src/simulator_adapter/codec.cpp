#include "codec.h"

#include <algorithm>

namespace sloestack::simulator {
namespace {

using namespace sloestack::decision;

std::uint32_t wire_micros(Micros value) {
    return static_cast<std::uint32_t>(std::clamp<Micros>(value, 0, 0xffffffffLL));
}

}  // namespace

void Reply::texted(std::uint16_t code, std::string_view text) {
    text = text.substr(0, 0xffff);
    begin(code, static_cast<std::uint32_t>(2 + text.size()));
    put(static_cast<std::uint16_t>(text.size()));
    out_.insert(out_.end(), text.begin(), text.end());
}

void Reply::action(const Action& action) {
    struct Writer {
        Reply& r;
        void operator()(const Forward& a) const {
            r.begin(1000, 16);
            r.put(a.request);
            r.put(a.endpoint);
            r.put(wire_micros(a.timeout_us));
        }
        void operator()(const Reject& a) const {
            r.begin(1010, 12);
            r.put(a.request);
            r.put(wire_micros(a.retry_after_us));
        }
        void operator()(const Fail& a) const {
            r.begin(1020, 8);
            r.put(a.request);
        }
        void operator()(const Cancel& a) const {
            r.begin(1030, 9);
            r.put(a.request);
            r.put(static_cast<std::uint8_t>(a.attempt));
        }
        void operator()(const SetTimer& a) const {
            r.begin(1040, 8);
            r.put(wire_micros(a.delay_us));
            r.put(a.token);
        }
        void operator()(const StartHealthCheck& a) const {
            r.begin(1050, 4);
            r.put(a.endpoint);
        }
        void operator()(const PollDiscovery&) const {
            r.begin(1100, 1);
            r.put(std::uint8_t{1});
        }
        void operator()(const Log& a) const { r.texted(1080, a.text); }
    };
    std::visit(Writer{*this}, action);
}

const std::vector<unsigned char>& Reply::finish() {
    const auto size = static_cast<std::uint32_t>(out_.size());
    for (int i = 0; i < 4; ++i) {
        out_[static_cast<std::size_t>(i)] = static_cast<unsigned char>(records_ >> (24 - 8 * i));
        out_[static_cast<std::size_t>(4 + i)] = static_cast<unsigned char>(size >> (24 - 8 * i));
    }
    return out_;
}

}  // namespace sloestack::simulator
