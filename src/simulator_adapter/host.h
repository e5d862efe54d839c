// Runs many router instances in one process: passes each its events of a batch and collects its actions.
#pragma once

#include <array>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "codec.h"
#include "event_codec.h"
#include "settings/settings.h"
#include "sloestack/router.h"

namespace sloestack::simulator {

using sloestack::settings::InstanceSettings;
using sloestack::settings::parse_settings;

class Host {
public:
    // Processes one complete batch frame with its header and returns the complete reply frame, which is valid
    // until the next call. Invalid settings are reported in the reply as a fault of their instance. Throws
    // FrameError for a malformed frame; the host must not be used after that.
    const std::vector<unsigned char>& handle_batch(const std::vector<unsigned char>& frame);

private:
    using InstanceNumber = std::uint16_t;
    static constexpr std::size_t kMaxLists = std::numeric_limits<std::uint8_t>::max() + std::size_t{1};

    struct Instance {
        std::unique_ptr<decision::Router> router;  // null while stopped, or if it could not be started
        InstanceSettings settings;
        std::vector<decision::Event> events;  // of the current batch
        std::string fault;                    // why it could not be started; cleared once reported
        bool in_batch = false;
    };

    void handle_record(std::uint16_t code, FieldReader in);
    void start_instance(FieldReader in);
    void stop_instance();
    void add_endpoint_list(FieldReader in);
    void step_instances(decision::Time now);
    void step(InstanceNumber number, Instance& instance, decision::Time now);
    // Returns the instance that the current record is for. Throws FrameError if none has been selected.
    Instance& selected_instance();

    std::map<InstanceNumber, Instance> instances_;
    std::array<EndpointEntries, kMaxLists> lists_;
    std::vector<InstanceNumber> batch_order_;  // the current batch's, in the order of their first record
    std::optional<InstanceNumber> selected_;
    std::vector<decision::Action> actions_;
    ReplyWriter reply_;
};

}  // namespace sloestack::simulator
