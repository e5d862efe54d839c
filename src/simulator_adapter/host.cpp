#include "host.h"

#include <stdexcept>

#include "record_codes.h"

namespace sloestack::simulator {

using decision::EndpointListKind;
using decision::Time;

const std::vector<unsigned char>& Host::handle_batch(const std::vector<unsigned char>& frame) {
    reply_.clear();
    batch_order_.clear();
    selected_.reset();
    FieldReader in(frame.data(), frame.size(), 0);
    const auto now = static_cast<Time>(in.uint<std::uint64_t>());
    in.uint<std::uint32_t>();  // the frame size; the caller has read the frame by it
    const auto count = in.uint<std::uint32_t>();
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto code = in.uint<std::uint16_t>();
        const auto size = in.uint<std::uint32_t>();
        handle_record(code, in.part(size));
    }
    if (in.bytes_left()) throw FrameError(in.offset(), "bytes after the last record");
    step_instances(now);
    return reply_.finish();
}

Host::Instance& Host::selected_instance() {
    if (!selected_)
        throw FrameError(kBatchHeaderBytes, "a record for an instance before any instance was selected");
    auto& instance = instances_[*selected_];
    if (!instance.in_batch) batch_order_.push_back(*selected_);
    instance.in_batch = true;
    return instance;
}

void Host::handle_record(std::uint16_t code, FieldReader in) {
    switch (static_cast<EventCode>(code)) {
        case EventCode::endpoint_list_contents: {
            auto list = read_list_contents(in);
            lists_[list.number] = std::move(list.entries);
            return;
        }
        case EventCode::instance_selected:
            selected_ = in.uint<InstanceNumber>();
            return;
        case EventCode::instance_started:
            return start_instance(in);
        case EventCode::instance_stopped:
            return stop_instance();
        case EventCode::endpoint_list:
            return add_endpoint_list(in);
        case EventCode::arrival:
            selected_instance().events.emplace_back(read_arrival(in));
            return;
        case EventCode::attempt_ended: {
            auto& instance = selected_instance();
            instance.events.emplace_back(read_attempt_ended(in, instance.settings));
            return;
        }
        case EventCode::response_started:
            selected_instance().events.emplace_back(read_response_started(in));
            return;
        case EventCode::client_disconnected:
            selected_instance().events.emplace_back(decision::ClientDisconnected{in.uint<std::uint64_t>()});
            return;
        case EventCode::timer_fired:
            selected_instance().events.emplace_back(decision::TimerFired{in.uint<std::uint32_t>()});
            return;
        case EventCode::health_check_ended: {
            auto& instance = selected_instance();
            instance.events.emplace_back(read_health_check_ended(in, instance.settings));
            return;
        }
    }
    // Records with other codes are not known to this build and are skipped.
}

void Host::start_instance(FieldReader in) {
    stop_instance();
    auto& instance = selected_instance();
    instance.fault.clear();
    const auto seed = in.uint<std::uint64_t>();
    const auto size = in.uint<std::uint32_t>();
    const auto text = in.bytes(size);
    try {
        instance.settings = parse_settings(text);
        instance.router = std::make_unique<decision::Router>(instance.settings.router, seed);
    } catch (const std::invalid_argument& error) {
        instance.fault = error.what();
    }
}

void Host::stop_instance() {
    auto& instance = selected_instance();
    instance.router.reset();
    instance.events.clear();
}

void Host::add_endpoint_list(FieldReader in) {
    const auto list = read_list_reference(in);
    if (!list.kind) return;
    const auto entries = *list.kind == EndpointListKind::failed ? nullptr : lists_[list.number];
    selected_instance().events.emplace_back(decision::EndpointList{*list.kind, entries});
}

void Host::step_instances(Time now) {
    for (const auto number : batch_order_) {
        auto& instance = instances_[number];
        instance.in_batch = false;
        if (!instance.fault.empty()) {
            reply_.add_instance(number);
            reply_.add_fault(instance.fault);
            instance.fault.clear();
        }
        if (instance.router)
            step(number, instance, now);
        else
            instances_.erase(number);
    }
}

void Host::step(InstanceNumber number, Instance& instance, Time now) {
    if (instance.events.empty()) return;
    actions_.clear();
    instance.router->step(now, instance.events, actions_);
    instance.events.clear();
    if (actions_.empty()) return;
    reply_.add_instance(number);
    for (const auto& action : actions_) reply_.add_action(action);
}

}  // namespace sloestack::simulator
