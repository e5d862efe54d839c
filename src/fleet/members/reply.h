// What a member answers to one query, gathered message by message. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "nettletrestle/router.h"
#include "pgwire/frame.h"
#include "traffic/traffic.h"

namespace sloestack::members {

class Reply {
public:
    // How long a message of this type may be at this point of the answer; 0 where it cannot come.
    std::size_t longest(char type) const;
    // Takes one message of the answer. True once it is whole (ReadyForQuery). Throws pgwire::BadMessage.
    bool take(const pgwire::Message& message);

    // The row begins with this head (of a message of that size in all) and its bytes come in pieces. Returns
    // how many. Throws pgwire::BadMessage.
    std::size_t begin_row(std::string_view head, std::size_t size);
    static constexpr std::size_t kRowHead = 1 + 4 + 2 + 4;  // type, length, count of columns, size

    // How the query ended, as far as told: nothing before the command's end or an error.
    std::optional<nettletrestle::Outcome> outcome() const { return outcome_; }
    const nettletrestle::Standing& standing() const { return standing_; }
    const nettletrestle::Standing& reported() const { return reported_; }
    // The row; to be taken where the outcome is ok.
    std::optional<traffic::Value>& value() { return value_; }

private:
    void parameter(std::string_view name, std::string_view value);

    std::optional<nettletrestle::Outcome> outcome_;
    nettletrestle::Standing standing_, reported_;
    std::optional<traffic::Value> value_;
    bool row_ = false;
};

// A load report: name=value pairs with commas between.
nettletrestle::Standing read_load(std::string_view text);
nettletrestle::Outcome outcome_of(std::string_view sqlstate);

}  // namespace sloestack::members
