// Parses an endpoint's response to one query in version 3 of PostgreSQL's protocol, message by message.
// Besides the row, it reads the endpoint's replication status from ParameterStatus messages. Does no input or
// output.
#pragma once

#include <string_view>

#include "connection_pool/upstream_response.h"
#include "pgwire/frame.h"
#include "sloestack/router.h"

namespace sloestack::postgres {

class ResponseParser {
public:
    // Returns the maximum size in bytes, including the length field, of a message of this type that may come
    // next; 0 if none may.
    std::size_t max_size_of(char type) const;
    // Reads the next message. Returns true if the response is complete (ReadyForQuery). Throws
    // pgwire::ProtocolError if the message is invalid.
    bool read(const pgwire::Message& message);
    // Reads the header of a DataRow message whose value is not buffered: the first kRowHeaderBytes of a
    // message of `size` bytes. Returns the size of the value. Throws pgwire::ProtocolError if the header is
    // invalid.
    std::size_t begin_streamed_row(std::string_view header, std::size_t size);
    static constexpr std::size_t kRowHeaderBytes = 1 + 4 + 2 + 4;  // type, length, column count, value size

    // Returns what has been read so far.
    upstream::UpstreamResponse& response() { return response_; }

private:
    void read_parameter(std::string_view body);
    void read_row_description(std::string_view body);
    void read_row(std::string_view body);
    void read_command_complete(std::string_view body);
    void read_error(std::string_view body);
    void read_ready(std::string_view body) const;
    // Reads the column count of a DataRow message. Throws if no row may come or it has not exactly one
    // column.
    void read_column_count(pgwire::FieldReader& fields) const;

    upstream::UpstreamResponse response_;
    bool has_row_ = false;
};

// Returns the outcome of a query that ended with an ErrorResponse of this SQLSTATE.
decision::Outcome outcome_of_sqlstate(std::string_view sqlstate);

}  // namespace sloestack::postgres
