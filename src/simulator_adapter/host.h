// Hosts many router instances in one process: hands each its events of a batch and collects its actions.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "codec.h"
#include "settings/settings.h"
#include "sloestack/router.h"

namespace sloestack::simulator {

using sloestack::settings::InstanceSettings;
using sloestack::settings::parse_settings;

class Host {
public:
    // Takes one whole batch frame, header included, and returns the whole reply frame.
    const std::vector<unsigned char>& batch(const std::vector<unsigned char>& frame);

private:
    struct Instance {
        std::unique_ptr<sloestack::decision::Router> router;
        InstanceSettings settings;
        std::vector<sloestack::decision::Event> events;
        std::string fault;
        bool touched = false;
    };
    using Entries = std::shared_ptr<const std::vector<sloestack::decision::EndpointEntry>>;

    void record(std::uint16_t code, Fields in);
    void start(Fields in);
    void read_catalog(Fields in);
    void answer(sloestack::decision::Time now);
    Instance& touch();
    sloestack::decision::ReplicationStatus read_report(Fields& in, const InstanceSettings& settings) const;

    std::map<std::uint16_t, Instance> instances_;
    std::array<Entries, 256> lists_;
    std::vector<std::uint16_t> order_;  // instances of this batch, as first named
    std::optional<std::uint16_t> current_;
    std::vector<sloestack::decision::Action> actions_;
    Reply reply_;
};

}  // namespace sloestack::simulator
