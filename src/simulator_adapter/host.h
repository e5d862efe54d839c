// Hosts many router instances in one process: gives each its events of a batch and collects its actions.
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
    // Takes one whole batch frame, header included, and returns the whole reply frame, which is valid until
    // the next call. Settings that cannot be run are a fault of their instance, reported in the reply. Throws
    // BadFrame for a frame that cannot be read; the host is of no further use then.
    const std::vector<unsigned char>& handle_batch(const std::vector<unsigned char>& frame);

private:
    using InstanceNumber = std::uint16_t;
    static constexpr std::size_t kMaxLists = std::numeric_limits<std::uint8_t>::max() + std::size_t{1};

    struct Instance {
        std::unique_ptr<decision::Router> router;  // null while stopped or at fault
        InstanceSettings settings;
        std::vector<decision::Event> events;  // of this batch
        std::string fault;                    // why it could not be started; empty once reported
        bool in_batch = false;
    };

    void handle_record(std::uint16_t code, FieldReader in);
    void start_instance(FieldReader in);
    void stop_instance();
    void add_endpoint_list(FieldReader in);
    void step_instances(decision::Time now);
    void step(InstanceNumber number, Instance& instance, decision::Time now);
    // The instance that the records at hand are for. Throws BadFrame where none was named.
    Instance& selected_instance();

    std::map<InstanceNumber, Instance> instances_;
    std::array<EndpointEntries, kMaxLists> lists_;
    std::vector<InstanceNumber> batch_order_;  // instances of this batch, as first named
    std::optional<InstanceNumber> selected_;
    std::vector<decision::Action> actions_;
    ReplyWriter reply_;
};

}  // namespace sloestack::simulator
