// Extracts requests and responses from the two byte streams of a connection. A dialect parses one protocol
// and reports events that do not depend on it. Does no I/O: used on captured streams and on the live
// connections of a replay.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sloestack::conversation {

using Time = std::int64_t;    // Unix microseconds
using Micros = std::int64_t;  // a duration
using ConnectionId = std::uint64_t;

enum class Side { client, server };

// 128-bit XXH3 hash over all bytes of a response, and their number. Two responses are equal if their digests
// are.
struct Digest {
    std::uint64_t low = 0, high = 0, size = 0;
    bool operator==(const Digest& other) const {
        return low == other.low && high == other.high && size == other.size;
    }
    bool operator!=(const Digest& other) const { return !(*this == other); }
};
Digest digest_of(std::string_view bytes);

struct Opened {
    ConnectionId connection = 0;
    Time at = 0;
    std::string_view bytes;  // the client's messages that begin the session; valid only during the call
};
struct RequestEvent {
    ConnectionId connection = 0;
    std::uint32_t number = 0;  // counts the requests of the connection from 0
    Time at = 0;               // time of the request's last byte
    std::string_view id, request_class,
        key;          // empty if absent: a liveness check has neither id nor request class
    Micros left = 0;  // how long the client still waits for the response
    int group = 0;
    bool repeat = false;  // marked as a retry by the client
    bool ahead = false;   // sent before the response to the previous request arrived
    std::string_view bytes;
};
enum class Kind {
    served,
    empty,       // the response to a liveness check
    refused,     // rejected: the request did not run, and a retry is safe
    failed,      // the request may have run
    called_off,  // canceled by the client, possibly after the request ran
    none         // no response, or an incomplete one: whether the request ran is unknown
};
const char* to_text(Kind kind);
struct ResponseEvent {
    ConnectionId connection = 0;
    std::uint32_t number = 0;
    Time at = 0;  // time of the response's last byte, or of the end of the stream
    Kind kind = Kind::none;
    std::string code;              // the protocol's error code if `kind` is refused or failed
    std::optional<Micros> advice;  // Retry-After time
    Digest digest;
};
// The rest of one direction cannot be read.
struct Cut {
    ConnectionId connection = 0;
    Side side = Side::client;
    std::uint64_t offset = 0;  // of the first message that could not be read
    std::string reason;
};

// Receives the events of a connection. Views in events are valid only during the call.
class Listener {
public:
    virtual void opened(const Opened&) {}
    // The server has accepted the session; the client may send requests.
    virtual void greeted(ConnectionId, Time, const Digest&) {}
    virtual void asked(const RequestEvent&) = 0;
    virtual void answered(const ResponseEvent&) = 0;
    virtual void cut(const Cut&) {}
    virtual void closed(ConnectionId, Time) {}

protected:
    ~Listener() = default;
};

// Memory budget in bytes for incomplete messages, shared by all dialects of a run.
struct Memory {
    std::size_t most = 16 * 1024 * 1024;
    std::size_t held = 0;
};

// Parses the two directions of one connection.
class Dialect {
public:
    virtual ~Dialect() = default;
    // Parses the next bytes from one side. Never throws: a malformed message ends the direction with a Cut.
    virtual void read(Side from, std::string_view bytes, Time at) = 0;
    // Reports that the next bytes from one side are missing, and cuts that direction.
    virtual void lost(Side from, Time at, const std::string& reason) = 0;
    // Ends the connection. Each request without a response is reported with Kind::none; the oldest one is
    // reported as refused or failed if the server's last message was such an error.
    virtual void over(Time at) = 0;
    virtual bool greeted() const = 0;            // see Listener::greeted()
    virtual std::size_t unanswered() const = 0;  // number of requests without a response
};

// Creates dialects of one protocol, and rewrites its requests.
class Language {
public:
    virtual ~Language() = default;
    // `memory` and `listener` must outlive the dialect.
    virtual std::unique_ptr<Dialect> begin(ConnectionId connection, Memory& memory,
                                           Listener& listener) const = 0;
    // Returns the same request with another id, and with another key if it has one. Throws
    // std::invalid_argument if `message` is not a request with an id.
    virtual std::string renamed(std::string_view message, std::string_view id,
                                std::string_view key) const = 0;
};
const Language& postgres();  // protocol 3.0, simple queries
const Language& tds();       // 7.2 to 7.4, batches and sp_executesql
// Returns the protocol with the name "postgres" or "tds"; throws std::invalid_argument for any other name.
const Language& language(const std::string& name);

// ---- comparison of two responses to one request ----
// The decision of a proxy that explains a difference; none if there is none.
enum class Cause { none, refused, failed, retried };
const char* to_text(Cause cause);
struct Verdict {
    bool same = true;
    Cause cause = Cause::none;
    std::string what = {};  // description of the difference; empty if the responses agree
};
Verdict compare(const ResponseEvent& before, const ResponseEvent& after);

}  // namespace sloestack::conversation
