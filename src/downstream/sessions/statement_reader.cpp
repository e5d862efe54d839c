#include "sessions/statement_reader.h"

#include <algorithm>

#include "pgwire/statement.h"
#include "sessions/request_ids.h"

namespace sloestack::downstream {

std::variant<ParsedStatement, StatementError> StatementReader::read(std::string text,
                                                                    std::shared_ptr<void> memory,
                                                                    Time received_at) const {
    using Kind = StatementError::Kind;
    auto statement = std::make_shared<traffic::Statement>();
    statement->text = std::move(text);
    statement->memory_reservation = std::move(memory);
    pgwire::Tags tags;
    try {
        tags = pgwire::read_tags(statement->text);
    } catch (const pgwire::ProtocolError& error) {
        return StatementError{Kind::malformed, kUnknownRequestClass, error.what()};
    }
    const int request_class = find_class(tags.request_class);
    if (request_class == kUnknownRequestClass)
        return StatementError{Kind::unknown_class, request_class,
                              "unknown request class " + std::string(tags.request_class)};
    if (!context_.dispatcher.knows_replica_group(tags.cluster))
        return StatementError{Kind::unknown_replica_group, request_class};

    const Time now = context_.deadlines.now();
    ParsedStatement parsed;
    auto& arrival = parsed.request.arrival;
    arrival.request_class = request_class;
    arrival.replica_group = tags.cluster;
    arrival.deadline = received_at + tags.time_left_ms * kMicrosPerMillisecond;
    if (arrival.deadline <= now) return StatementError{Kind::deadline_exceeded, request_class};
    arrival.is_retry = tags.is_retry;
    if (context_.uses_sessions) arrival.session = hash_name(tags.first_literal);
    if (tags.after_ms && *tags.after_ms > 0)
        arrival.last_write_age_us = std::max<Micros>(1, now - *tags.after_ms * kMicrosPerMillisecond);
    parsed.id = tags.id;
    statement->time_left_offset = tags.time_left_offset;
    statement->time_left_size = tags.time_left_size;
    parsed.request.statement = std::move(statement);
    return parsed;
}

int StatementReader::request_class_of(std::string_view text) const {
    try {
        return find_class(pgwire::read_tags(text).request_class);
    } catch (const pgwire::ProtocolError&) {
        return kUnknownRequestClass;
    }
}

bool StatementReader::may_overlap(int request_class) const {
    return request_class >= 0 && context_.class_may_overlap[static_cast<std::size_t>(request_class)];
}

int StatementReader::find_class(std::string_view name) const {
    const auto& names = context_.class_names;
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? kUnknownRequestClass : static_cast<int>(found - names.begin());
}

}  // namespace sloestack::downstream
