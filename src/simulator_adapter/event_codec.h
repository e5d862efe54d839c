// Reads the fields of one record of a batch into an event of the decision module. Each function takes the
// record's fields in their order on the wire, skips none, and throws BadFrame where the record is too short.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "codec.h"
#include "settings/settings.h"
#include "sloestack/router.h"

namespace sloestack::simulator {

using EndpointEntries = std::shared_ptr<const std::vector<decision::EndpointEntry>>;

// The contents of an endpoint list, with the number that later records refer to it by.
struct NumberedList {
    std::uint8_t number = 0;
    EndpointEntries entries;
};
NumberedList read_list_contents(FieldReader& in);

// A reference to such a list.
struct ListReference {
    std::optional<decision::EndpointListKind> kind;  // nothing for a kind this build does not know
    std::uint8_t number = 0;
};
ListReference read_list_reference(FieldReader& in);

decision::Arrival read_arrival(FieldReader& in);
decision::AttemptEnded read_attempt_ended(FieldReader& in, const settings::InstanceSettings& settings);
decision::ResponseStarted read_answer_started(FieldReader& in);
decision::HealthCheckEnded read_health_check_ended(FieldReader& in,
                                                   const settings::InstanceSettings& settings);

}  // namespace sloestack::simulator
