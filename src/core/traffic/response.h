// How the client side gets the response to a request, whole or streamed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "traffic/types.h"

namespace sloestack::traffic {

// The single value (one row of one column) that an endpoint answered with.
struct ResultValue {
    std::string column;
    std::string bytes;        // empty where the value is null or streamed
    std::string command_tag;  // what the endpoint reported as the completed command
    std::uint32_t type = 0;   // the column's type identifier, as the endpoint gave it
    bool is_null = false;
    bool is_binary = false;
};

// Where a streamed value comes from; kept by the endpoint side.
class ResponseSource {
public:
    // Back-pressure: a paused source delivers nothing until it is resumed. Resuming may deliver at once.
    virtual void set_paused(bool paused) = 0;

protected:
    ~ResponseSource() = default;
};

// Waits for the response to one request; kept by the client side. Gets exactly one of: on_value; on_rejected;
// on_failed; or on_value_started with its chunks, ended by on_value_completed or on_value_aborted.
class ResponseSink {
public:
    virtual void on_value(const ResultValue& value) = 0;
    // A value of `size` bytes follows in chunks; `head` holds all but its bytes and command tag. `source`
    // lives until the value is completed or aborted.
    virtual void on_value_started(const ResultValue& head, std::size_t size, ResponseSource& source) = 0;
    virtual void on_value_chunk(std::string_view bytes) = 0;
    virtual void on_value_completed(const std::string& command_tag) = 0;
    // No further chunk comes; those that came must not be used.
    virtual void on_value_aborted() = 0;
    virtual void on_rejected(Micros retry_after) = 0;
    virtual void on_failed() = 0;
    // Asks the connection itself, as its callback for a disconnect may still be outstanding.
    virtual bool client_disconnected() = 0;

protected:
    ~ResponseSink() = default;
};

}  // namespace sloestack::traffic
