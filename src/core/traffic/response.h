// Interface by which the client side receives the response to a request, whole or streamed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "traffic/types.h"

namespace sloestack::traffic {

// The single value (one row of one column) that an endpoint returned.
struct ResultValue {
    std::string column;
    std::string bytes;        // empty if the value is null or streamed
    std::string command_tag;  // the completed command, as reported by the endpoint
    std::uint32_t type = 0;   // the column's type identifier, as reported by the endpoint
    bool is_null = false;
    bool is_binary = false;
};

// The source of a streamed value. Owned by the endpoint side.
class ResponseSource {
public:
    // Back-pressure: a paused source delivers nothing until it is
    // resumed. Resuming may deliver chunks before this call returns.
    virtual void set_paused(bool paused) = 0;

protected:
    ~ResponseSource() = default;
};

// Whether a client still waits for its responses.
enum class ClientPresence {
    connected,
    disconnected,
    unverified,  // it has sent a FIN and may have closed or only half-closed the connection
};

// Receives the response to one request. Owned by the client side. Exactly one
// of these is called: on_value; on_rejected; on_failed; or on_value_started
// followed by chunks and then by on_value_completed or on_value_aborted.
class ResponseSink {
public:
    virtual void on_value(const ResultValue& value) = 0;
    // A value of `size` bytes follows in chunks. `head` holds everything but its bytes and command tag.
    // `source` is valid until the value is completed or aborted.
    virtual void on_value_started(const ResultValue& head, std::size_t size, ResponseSource& source) = 0;
    virtual void on_value_chunk(std::string_view bytes) = 0;
    virtual void on_value_completed(const std::string& command_tag) = 0;
    // No further chunk follows, and the chunks received so far must not be used.
    virtual void on_value_aborted() = 0;
    virtual void on_rejected(Micros retry_after) = 0;
    virtual void on_failed() = 0;
    // Checks the connection itself, because its callback for a disconnect may not have run yet. `unverified`
    // is resolved within a round trip to the client; the caller asks again.
    virtual ClientPresence client_presence() = 0;

protected:
    ~ResponseSink() = default;
};

}  // namespace sloestack::traffic
