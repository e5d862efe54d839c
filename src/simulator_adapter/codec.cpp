#include "codec.h"

#include <algorithm>
#include <limits>

namespace sloestack::simulator {
namespace {

using decision::Micros;

constexpr std::size_t kMaxTextBytes = std::numeric_limits<std::uint16_t>::max();
constexpr Micros kMaxEncodedUs = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint8_t kPollDiscoveryBody = 1;

void put_header(std::vector<unsigned char>& frame, std::size_t offset, std::uint32_t value) {
    for (std::size_t i = 0; i < sizeof value; ++i)
        frame[offset + i] = static_cast<unsigned char>(value >> (24 - 8 * i));
}

}  // namespace

void ReplyWriter::clear() {
    frame_.assign(kReplyHeaderBytes, 0);
    record_count_ = 0;
}

void ReplyWriter::begin(ActionCode code, std::size_t body_bytes) {
    put(static_cast<std::uint16_t>(code));
    put(static_cast<std::uint32_t>(body_bytes));
    ++record_count_;
}

void ReplyWriter::put_micros(Micros value) {
    put(static_cast<std::uint32_t>(std::clamp<Micros>(value, 0, kMaxEncodedUs)));
}

void ReplyWriter::add_text(ActionCode code, std::string_view text) {
    text = text.substr(0, kMaxTextBytes);
    begin(code, sizeof(std::uint16_t) + text.size());
    put(static_cast<std::uint16_t>(text.size()));
    frame_.insert(frame_.end(), text.begin(), text.end());
}

void ReplyWriter::add_instance(std::uint16_t number) {
    begin(ActionCode::instance_selected, sizeof number);
    put(number);
}

void ReplyWriter::add_fault(std::string_view text) { add_text(ActionCode::instance_fault, text); }

void ReplyWriter::add_action(const decision::Action& action) {
    std::visit([this](const auto& each) { add(each); }, action);
}

void ReplyWriter::add(const decision::Forward& forward) {
    begin(ActionCode::forward, 16);
    put(forward.request);
    put(forward.endpoint);
    put_micros(forward.timeout_us);
}

void ReplyWriter::add(const decision::Reject& reject) {
    begin(ActionCode::reject, 12);
    put(reject.request);
    put_micros(reject.retry_after_us);
}

void ReplyWriter::add(const decision::Fail& fail) {
    begin(ActionCode::fail, 8);
    put(fail.request);
}

void ReplyWriter::add(const decision::Cancel& cancel) {
    begin(ActionCode::cancel, 9);
    put(cancel.request);
    put(static_cast<std::uint8_t>(cancel.attempt));
}

void ReplyWriter::add(const decision::SetTimer& timer) {
    begin(ActionCode::set_timer, 8);
    put_micros(timer.delay_us);
    put(timer.token);
}

void ReplyWriter::add(const decision::StartHealthCheck& check) {
    begin(ActionCode::start_health_check, 4);
    put(check.endpoint);
}

void ReplyWriter::add(const decision::PollDiscovery&) {
    begin(ActionCode::poll_discovery, 1);
    put(kPollDiscoveryBody);
}

void ReplyWriter::add(const decision::Log& entry) { add_text(ActionCode::log, entry.text); }

const std::vector<unsigned char>& ReplyWriter::finish() {
    put_header(frame_, 0, record_count_);
    put_header(frame_, sizeof record_count_, static_cast<std::uint32_t>(frame_.size()));
    return frame_;
}

}  // namespace sloestack::simulator
