#include "event_codec.h"

#include <cmath>

#include "record_codes.h"

namespace sloestack::simulator {
namespace {

using namespace sloestack::decision;
using settings::InstanceSettings;

constexpr std::size_t kEndpointEntryBytes = 27;
constexpr Micros kMicrosPerMillisecond = 1'000;
constexpr double kMicrosPerSecond = 1e6;
// A reported position beyond this many seconds after the base is not believed.
constexpr double kMaxReportedPositionSeconds = 1e7;

ReplicationStatus read_status(FieldReader& in, Time position_base) {
    const auto packed = in.uint<std::uint32_t>();
    ReplicationStatus out;
    out.role = role_of(packed & kStatusRoleMask);
    const auto milliseconds = packed >> kStatusPositionShift;
    if (milliseconds) out.position = position_base + static_cast<Time>(milliseconds) * kMicrosPerMillisecond;
    return out;
}

ReplicationStatus read_report(FieldReader& in, const InstanceSettings& settings) {
    ReplicationStatus out;
    const std::size_t count = in.uint<std::uint8_t>();
    for (std::size_t i = 0; i < count; ++i) {
        const double value = in.real();
        if (i >= settings.report_fields.size() || !std::isfinite(value)) continue;
        const auto& name = settings.report_fields[i];
        if (name == settings::kPositionReportField && value > 0 && value < kMaxReportedPositionSeconds)
            out.position = settings.position_base + static_cast<Time>(value * kMicrosPerSecond);
        if (name == settings::kRoleReportField && (value == 0 || value == 1))
            out.role = value == 1 ? Role::primary : Role::replica;
    }
    return out;
}

Outcome read_outcome(FieldReader& in) {
    return outcome_of(in.uint<std::uint16_t>()).value_or(Outcome::error);
}

EndpointEntry read_entry(FieldReader& in) {
    EndpointEntry out;
    out.size = in.real();
    out.replica_group = in.uint<std::uint16_t>();
    in.uint<std::uint16_t>();  // the machine's kind, which the router does not use
    out.endpoint = in.uint<std::uint32_t>();
    out.zone = in.uint<std::uint16_t>();
    out.listed_primary = in.real() == 1.0F;
    out.started_at = static_cast<Time>(in.uint<std::uint64_t>());
    out.state = endpoint_state_of(in.uint<std::uint8_t>());
    return out;
}

}  // namespace

NumberedList read_list_contents(FieldReader& in) {
    NumberedList out;
    out.number = in.uint<std::uint8_t>();
    const auto count = in.uint<std::uint32_t>();
    if (static_cast<std::uint64_t>(count) * kEndpointEntryBytes > in.left())
        throw BadFrame(in.offset(), "list entries run past their record");
    auto entries = std::make_shared<std::vector<EndpointEntry>>();
    entries->reserve(count);
    for (std::uint32_t i = 0; i < count; ++i) entries->push_back(read_entry(in));
    out.entries = std::move(entries);
    return out;
}

ListReference read_list_reference(FieldReader& in) {
    in.uint<std::uint32_t>();  // not used by the router
    ListReference out;
    out.kind = endpoint_list_kind_of(in.uint<std::uint8_t>());
    out.number = in.uint<std::uint8_t>();
    return out;
}

Arrival read_arrival(FieldReader& in) {
    Arrival out;
    out.request = in.uint<std::uint64_t>();
    out.request_class = in.uint<std::uint8_t>();
    out.tenant = static_cast<int>(in.uint<std::uint32_t>());
    out.session = in.uint<std::uint64_t>();
    out.deadline = static_cast<Time>(in.uint<std::uint64_t>());
    const auto work_us = in.uint<std::uint32_t>();
    const float group = in.real();
    const float write_age_ms = in.real();
    const auto bits = in.uint<std::uint16_t>();
    out.replica_group = std::isfinite(group) ? static_cast<int>(group) : -1;
    if (bits & kArrivalHasWorkHint) out.work_hint_us = work_us;
    if (std::isfinite(write_age_ms) && write_age_ms > 0)
        out.last_write_age_us = static_cast<Micros>(std::llround(write_age_ms * 1000.0));
    out.is_retry = (bits & kArrivalIsRetry) != 0;
    return out;
}

AttemptEnded read_attempt_ended(FieldReader& in, const InstanceSettings& settings) {
    AttemptEnded out;
    out.request = in.uint<std::uint64_t>();
    out.attempt = in.uint<std::uint8_t>();
    out.endpoint = in.uint<std::uint32_t>();
    out.outcome = read_outcome(in);
    out.latency_us = in.uint<std::uint32_t>();
    out.request_ended = in.uint<std::uint8_t>() != 0;
    out.status = read_status(in, settings.position_base);
    out.reported_status = read_report(in, settings);
    return out;
}

ResponseStarted read_answer_started(FieldReader& in) {
    ResponseStarted out;
    out.request = in.uint<std::uint64_t>();
    out.attempt = in.uint<std::uint8_t>();
    out.endpoint = in.uint<std::uint32_t>();
    out.latency_us = in.uint<std::uint32_t>();
    return out;
}

HealthCheckEnded read_health_check_ended(FieldReader& in, const InstanceSettings& settings) {
    HealthCheckEnded out;
    out.latency_us = in.uint<std::uint32_t>();
    out.outcome = read_outcome(in);
    out.endpoint = in.uint<std::uint32_t>();
    out.reported_status = read_report(in, settings);
    return out;
}

}  // namespace sloestack::simulator
