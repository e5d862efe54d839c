// What a member answers to one query, gathered message by message. Pure.
#pragma once

#include <string>
#include <string_view>

#include "connection_pool/answer.h"
#include "pgwire/frame.h"
#include "sloestack/router.h"

namespace sloestack::postgres {

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

    // As far as told.
    upstream::Answer& answer() { return answer_; }

private:
    void parameter(std::string_view name, std::string_view value);

    upstream::Answer answer_;
    bool row_ = false;
};

decision::Outcome outcome_of(std::string_view sqlstate);

}  // namespace sloestack::postgres
