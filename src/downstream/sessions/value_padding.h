// Fills up a streamed value whose source has failed, so that an error, and the responses to the queries
// behind it, can follow on the same connection.
#pragma once

#include <cstddef>
#include <string_view>

#include "traffic/response.h"

namespace sloestack::downstream {

class ValuePaddingEvents {
public:
    // A part of the padding. May pause the padding.
    virtual void on_padding(std::string_view bytes) = 0;
    // All of it has been delivered. The padding must not be destroyed before the call returns.
    virtual void on_padding_completed() = 0;

protected:
    ~ValuePaddingEvents() = default;
};

class ValuePadding final : public traffic::ResponseSource {
public:
    // Paused at first. `events` outlives the padding.
    ValuePadding(std::size_t bytes, ValuePaddingEvents& events) : bytes_left_(bytes), events_(events) {}

    void set_paused(bool paused) override;

private:
    std::size_t bytes_left_;
    ValuePaddingEvents& events_;
    bool is_paused_ = true;
};

}  // namespace sloestack::downstream
