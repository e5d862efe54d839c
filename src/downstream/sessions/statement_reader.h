// Turns the text of a client's statement into a request for the dispatcher: reads the tags in its comment,
// finds its class and replica group, and computes its deadline.
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
    std::string id;  // the client's name for the request
};

struct StatementError {
    enum class Kind {
        malformed,              // a tag is missing or wrong; `message` says which
        unknown_class,          // `message` names it
        unknown_replica_group,  // no endpoint of the group is known
        deadline_exceeded,      // the client's time was over before the statement was read
    };
    Kind kind;
    int request_class = kUnknownRequestClass;
    std::string message = {};
};

class StatementReader {
public:
    // `context` outlives the reader.
    explicit StatementReader(const SessionContext& context) : context_(context) {}

    // `memory` is what the text takes of the budget for large statements, null for others; it is released
    // with the request. The client counts its time from `received_at`, when its last byte arrived.
    std::variant<ParsedStatement, StatementError> read(std::string text, std::shared_ptr<void> memory,
                                                       Time received_at) const;
    int request_class_of(std::string_view text) const;
    // Whether a query of the class may run beside others of its connection.
    bool may_overlap(int request_class) const;

private:
    int find_class(std::string_view name) const;

    const SessionContext& context_;
};

}  // namespace sloestack::downstream
