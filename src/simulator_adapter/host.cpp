#include "host.h"

#include <cmath>

namespace sloestack::simulator {
namespace {

using namespace sloestack::decision;

std::optional<Outcome> outcome_of(std::uint16_t status) {
    switch (status) {
        case 0:
            return Outcome::ok;
        case 2:
            return Outcome::not_eligible;
        case 5:
            return Outcome::error;
        case 11:
            return Outcome::overloaded;
        case 104:
            return Outcome::reset;
        case 110:
            return Outcome::timeout;
        case 111:
            return Outcome::connect_failed;
        case 114:
            return Outcome::expired;
        case 125:
            return Outcome::cancelled;
        default:
            return std::nullopt;
    }
}

ReplicationStatus standing_of(std::uint32_t note, Time base) {
    ReplicationStatus out;
    const auto role = note & 3u;
    out.role = role == 1 ? Role::primary : role == 2 ? Role::replica : Role::unknown;
    if (note >> 2) out.position = base + static_cast<Time>(note >> 2) * 1000;
    return out;
}

EndpointEntry read_entry(Fields& in) {
    EndpointEntry out;
    out.size = in.real();
    out.replica_group = in.uint<std::uint16_t>();
    in.uint<std::uint16_t>();  // machine kind: the router does not use it
    out.endpoint = in.uint<std::uint32_t>();
    out.zone = in.uint<std::uint16_t>();
    out.listed_primary = in.real() == 1.0f;
    out.started_at = static_cast<Time>(in.uint<std::uint64_t>());
    const auto state = in.uint<std::uint8_t>();
    out.state = state == 2   ? EndpointState::ready
                : state == 1 ? EndpointState::draining
                             : EndpointState::removed;
    return out;
}

Arrival read_arrival(Fields& in) {
    Arrival out;
    out.request = in.uint<std::uint64_t>();
    out.request_class = in.uint<std::uint8_t>();
    out.tenant = static_cast<int>(in.uint<std::uint32_t>());
    out.session = in.uint<std::uint64_t>();
    out.deadline = static_cast<Time>(in.uint<std::uint64_t>());
    const auto work = in.uint<std::uint32_t>();
    const float group = in.real();
    out.replica_group = std::isfinite(group) ? static_cast<int>(group) : -1;
    const float age_ms = in.real();
    const auto bits = in.uint<std::uint16_t>();
    if (bits & 1u) out.work_hint_us = work;
    if (std::isfinite(age_ms) && age_ms > 0)
        out.last_write_age_us = static_cast<Micros>(std::llround(age_ms * 1000.0));
    out.is_retry = (bits & 2u) != 0;
    return out;
}

std::optional<EndpointListKind> list_kind(std::uint8_t kind) {
    switch (kind) {
        case 0:
            return EndpointListKind::cached;
        case 1:
            return EndpointListKind::changes;
        case 2:
            return EndpointListKind::failed;
        case 3:
            return EndpointListKind::complete;
        default:
            return std::nullopt;
    }
}

}  // namespace

Host::Instance& Host::touch() {
    if (!current_) throw BadFrame(kBatchHeader, "an event before any instance was named");
    auto& instance = instances_[*current_];
    if (!instance.touched) order_.push_back(*current_);
    instance.touched = true;
    return instance;
}

ReplicationStatus Host::read_report(Fields& in, const InstanceSettings& settings) const {
    ReplicationStatus out;
    const auto count = in.uint<std::uint8_t>();
    for (std::size_t i = 0; i < count; ++i) {
        const double value = in.real();
        if (i >= settings.report_fields.size() || !std::isfinite(value)) continue;
        const auto& name = settings.report_fields[i];
        if (name == "x0" && value > 0 && value < 1e7)
            out.position = settings.position_base + static_cast<Time>(value * 1e6);
        if (name == "x1" && (value == 0 || value == 1)) out.role = value == 1 ? Role::primary : Role::replica;
    }
    return out;
}

void Host::read_catalog(Fields in) {
    const auto number = in.uint<std::uint8_t>();
    const auto count = in.uint<std::uint32_t>();
    if (static_cast<std::uint64_t>(count) * 27 > in.left())
        throw BadFrame(in.offset(), "list entries run past their record");
    auto entries = std::make_shared<std::vector<EndpointEntry>>();
    entries->reserve(count);
    for (std::uint32_t i = 0; i < count; ++i) entries->push_back(read_entry(in));
    lists_[number] = std::move(entries);
}

void Host::start(Fields in) {
    auto& instance = touch();
    instance.router.reset();
    instance.events.clear();
    instance.fault.clear();
    const auto seed = in.uint<std::uint64_t>();
    const auto size = in.uint<std::uint32_t>();
    const auto text = in.bytes(size);
    try {
        instance.settings = parse_settings(text);
        instance.router = std::make_unique<Router>(instance.settings.router, seed);
    } catch (const std::invalid_argument& error) {
        instance.fault = error.what();
    }
}

void Host::record(std::uint16_t code, Fields in) {
    switch (code) {
        case 1000:
            return read_catalog(in);
        case 1110:
            current_ = in.uint<std::uint16_t>();
            return;
        case 1060:
            return start(in);
        case 1040: {
            auto& instance = touch();
            instance.router.reset();
            instance.events.clear();
            return;
        }
        case 1080: {
            in.uint<std::uint32_t>();
            const auto kind = list_kind(in.uint<std::uint8_t>());
            const auto number = in.uint<std::uint8_t>();
            if (kind)
                touch().events.emplace_back(
                    EndpointList{*kind, *kind == EndpointListKind::failed ? nullptr : lists_[number]});
            return;
        }
        case 1070:
            touch().events.emplace_back(read_arrival(in));
            return;
        case 1090: {
            auto& instance = touch();
            AttemptEnded e;
            e.request = in.uint<std::uint64_t>();
            e.attempt = in.uint<std::uint8_t>();
            e.endpoint = in.uint<std::uint32_t>();
            const auto outcome = outcome_of(in.uint<std::uint16_t>());
            e.latency_us = in.uint<std::uint32_t>();
            e.request_ended = in.uint<std::uint8_t>() != 0;
            e.status = standing_of(in.uint<std::uint32_t>(), instance.settings.position_base);
            e.reported_status = read_report(in, instance.settings);
            e.outcome = outcome.value_or(Outcome::error);
            instance.events.emplace_back(e);
            return;
        }
        case 1100: {
            AnswerStarted e;
            e.request = in.uint<std::uint64_t>();
            e.attempt = in.uint<std::uint8_t>();
            e.endpoint = in.uint<std::uint32_t>();
            e.latency_us = in.uint<std::uint32_t>();
            touch().events.emplace_back(e);
            return;
        }
        case 1020:
            touch().events.emplace_back(ClientDisconnected{in.uint<std::uint64_t>()});
            return;
        case 1010:
            touch().events.emplace_back(TimerFired{in.uint<std::uint32_t>()});
            return;
        case 1050: {
            auto& instance = touch();
            HealthCheckEnded e;
            e.latency_us = in.uint<std::uint32_t>();
            e.outcome = outcome_of(in.uint<std::uint16_t>()).value_or(Outcome::error);
            e.endpoint = in.uint<std::uint32_t>();
            e.reported_status = read_report(in, instance.settings);
            instance.events.emplace_back(e);
            return;
        }
        default:
            return;  // a record this build does not know
    }
}

void Host::answer(Time now) {
    for (const auto number : order_) {
        auto& instance = instances_[number];
        instance.touched = false;
        if (!instance.fault.empty()) {
            reply_.instance(number);
            reply_.fault(instance.fault);
            instance.fault.clear();
        }
        if (!instance.router) {
            instances_.erase(number);
            continue;
        }
        if (instance.events.empty()) continue;
        actions_.clear();
        instance.router->step(now, instance.events, actions_);
        instance.events.clear();
        if (actions_.empty()) continue;
        reply_.instance(number);
        for (const auto& action : actions_) reply_.action(action);
    }
}

const std::vector<unsigned char>& Host::batch(const std::vector<unsigned char>& frame) {
    reply_.clear();
    order_.clear();
    current_.reset();
    Fields in(frame.data(), frame.size(), 0);
    const auto now = static_cast<Time>(in.uint<std::uint64_t>());
    in.uint<std::uint32_t>();
    const auto count = in.uint<std::uint32_t>();
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto code = in.uint<std::uint16_t>();
        const auto size = in.uint<std::uint32_t>();
        record(code, in.part(size));
    }
    if (in.left()) throw BadFrame(in.offset(), "bytes left over after the last record");
    answer(now);
    return reply_.finish();
}

}  // namespace sloestack::simulator
