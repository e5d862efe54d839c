// What a member answered to one query, in no protocol's words; and the load report that every protocol's
// members give in the same form.
#pragma once

#include <optional>
#include <string_view>

#include "sloestack/router.h"
#include "traffic/response.h"

namespace sloestack::upstream {

struct Answer {
    // How the query ended, as far as told: nothing before its end or an error.
    std::optional<decision::Outcome> outcome;
    decision::ReplicationStatus status;           // of the answer itself
    decision::ReplicationStatus reported_status;  // of a load report that came with it
    // The row; there where the outcome is ok.
    std::optional<traffic::ResultValue> value;
};

// A load report: name=value pairs with commas between. One pair that cannot be read spoils all of it.
decision::ReplicationStatus read_load(std::string_view text);
// Digits, a sign and a point; nothing where it is none or not finite.
std::optional<double> number(std::string_view text);
// A position told in units of so many microseconds; nothing where it cannot be one.
std::optional<decision::Time> position(double value, double unit_us);

}  // namespace sloestack::upstream
