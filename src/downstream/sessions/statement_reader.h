// Turns the text of a client's statement into a request for the dispatcher: parses the tags in its comment,
// determines its request class and replica group, and computes its deadline.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "sessions/session_context.h"

namespace sloestack::downstream {

// The request class of a statement whose class is unknown or cannot be read.
constexpr int kUnknownRequestClass = -1;

struct ParsedStatement {
    traffic::Request request;
    std::string id;  // of the request, given by the client
};

struct StatementError {
    enum class Kind {
        malformed,              // a tag is missing or invalid; `message` says which
        unknown_class,          // `message` names the class
        unknown_replica_group,  // no endpoint of the replica group is known
        deadline_exceeded,      // the deadline passed before the statement was read
    };
    Kind kind;
    int request_class = kUnknownRequestClass;
    std::string message = {};
};

class StatementReader {
public:
    // `context` outlives the reader.
    explicit StatementReader(const SessionContext& context) : context_(context) {}

    // `memory` is the reservation for a large statement, null for others; it is released with the request.
    // The deadline counts from `received_at`, the arrival of the statement's last byte.
    std::variant<ParsedStatement, StatementError> read(std::string text, std::shared_ptr<void> memory,
                                                       Time received_at) const;
    // Returns kUnknownRequestClass if the class is unknown or the tags are malformed.
    int request_class_of(std::string_view text) const;
    // Returns true if a query of the class may run concurrently with others of its connection.
    bool may_overlap(int request_class) const;

private:
    int find_class(std::string_view name) const;

    const SessionContext& context_;
};

}  // namespace sloestack::downstream
