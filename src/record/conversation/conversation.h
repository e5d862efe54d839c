// What clients asked and what they were answered, read out of the two byte streams of a connection. A dialect
// knows one protocol; everything behind this header is in no protocol's words. Pure: used on captured streams
// and, byte by byte, on the live connections of a replay.
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

// 128 bits of XXH3 over all bytes of an answer, and their number: what byte-for-byte agreement is judged by.
struct Digest {
    std::uint64_t low = 0, high = 0, size = 0;
    bool operator==(const Digest& o) const { return low == o.low && high == o.high && size == o.size; }
    bool operator!=(const Digest& o) const { return !(*this == o); }
};
Digest digest_of(std::string_view bytes);

struct Opened {
    ConnectionId connection = 0;
    Time at = 0;
    std::string_view bytes;  // all that the client sent up to here
};
struct RequestEvent {
    ConnectionId connection = 0;
    std::uint32_t number = 0;  // on its connection, from 0
    Time at = 0;               // of its last byte
    std::string_view id, request_class,
        key;          // empty where it has none: a liveness check has neither id nor class
    Micros left = 0;  // how long the client waits for the answer
    int group = 0;
    bool repeat = false;  // the client says that it has asked before
    bool ahead = false;   // sent before the answer to the one before it had come
    std::string_view bytes;
};
enum class Kind {
    served,
    empty,       // an answer to a liveness check
    refused,     // trying again is harmless
    failed,      // it may have run
    called_off,  // by its client, which may have come too late
    none         // no answer, or not a whole one: its fate is unknown
};
const char* to_text(Kind kind);
struct ResponseEvent {
    ConnectionId connection = 0;
    std::uint32_t number = 0;
    Time at = 0;  // of its last byte, or of the end of the stream
    Kind kind = Kind::none;
    std::string code;  // of a refusal or failure, as the protocol has it
    std::optional<Micros> advice;
    Digest digest;
};
// From here on nothing of that direction can be read.
struct Cut {
    ConnectionId connection = 0;
    Side side = Side::client;
    std::uint64_t offset = 0;  // bytes of that direction up to the message that is not whole
    std::string reason;
};

class Listener {
public:
    virtual void opened(const Opened&) {}
    virtual void greeted(ConnectionId, Time, const Digest&) {}  // it may ask from now on
    virtual void asked(const RequestEvent&) = 0;
    virtual void answered(const ResponseEvent&) = 0;
    virtual void cut(const Cut&) {}
    virtual void closed(ConnectionId, Time) {}

protected:
    ~Listener() = default;
};

// What all dialects of one run may hold together in messages that are not whole yet.
struct Memory {
    std::size_t most = 16 * 1024 * 1024;
    std::size_t held = 0;
};

// One connection's two directions.
class Dialect {
public:
    virtual ~Dialect() = default;
    // The next bytes of a side. Never throws; what is malformed ends in a Cut.
    virtual void read(Side from, std::string_view bytes, Time at) = 0;
    // A side's bytes are missing from here on.
    virtual void lost(Side from, Time at, const std::string& why) = 0;
    // The connection is over. What was asked and not answered is told with Kind::none, or as what was said
    // last.
    virtual void over(Time at) = 0;
    virtual bool greeted() const = 0;
    virtual std::size_t unanswered() const = 0;
};

class Language {
public:
    virtual ~Language() = default;
    virtual std::unique_ptr<Dialect> begin(ConnectionId connection, Memory& memory, Listener& to) const = 0;
    // The same request under another id, and key where it has one. Throws std::invalid_argument where
    // `message` is no request with an id.
    virtual std::string renamed(std::string_view message, std::string_view id,
                                std::string_view key) const = 0;
};
const Language& postgres();  // protocol 3.0, simple queries
const Language& tds();       // 7.2 to 7.4, batches and sp_executesql
// By the name that operators give; throws std::invalid_argument naming those there are.
const Language& language(const std::string& name);

// ---- how two answers to one request compare ----
enum class Cause { none, refused, failed, retried };  // what a proxy decided; none: no decision explains it
const char* to_text(Cause cause);
struct Verdict {
    bool same = true;
    Cause cause = Cause::none;
    std::string what = {};  // one phrase, empty where they agree
};
Verdict compare(const ResponseEvent& before, const ResponseEvent& after);

}  // namespace sloestack::conversation
