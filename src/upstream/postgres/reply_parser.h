// Reads what an endpoint answers to one query in version 3 of PostgreSQL's protocol, message by message.
// Pure. Besides the one row, its status messages tell the endpoint's replication status.
#pragma once

#include <string_view>

#include "connection_pool/upstream_response.h"
#include "pgwire/frame.h"
#include "sloestack/router.h"

namespace sloestack::postgres {

class ReplyParser {
public:
    // The largest message of a type that may come now, its length field included; 0 where none may.
    std::size_t max_size_of(char type) const;
    // Reads the next message. Returns whether the reply is complete (ReadyForQuery). Throws
    // pgwire::ProtocolError.
    bool read(const pgwire::Message& message);
    // Reads the head of a row, the first kRowHeadBytes of a message of `size` bytes, whose value is not
    // buffered. Returns the size of the value. Throws pgwire::ProtocolError.
    std::size_t begin_streamed_row(std::string_view head, std::size_t size);
    static constexpr std::size_t kRowHeadBytes = 1 + 4 + 2 + 4;  // type, length, count of columns, size

    // What has been read so far.
    upstream::UpstreamResponse& response() { return response_; }

private:
    void read_parameter(std::string_view body);
    void read_row_description(std::string_view body);
    void read_row(std::string_view body);
    void read_command_complete(std::string_view body);
    void read_error(std::string_view body);
    void read_ready(std::string_view body) const;
    // Reads the count of columns of a row. Throws where no row may come or it has other than one column.
    void read_column_count(pgwire::FieldReader& fields) const;

    upstream::UpstreamResponse response_;
    bool has_row_ = false;
};

decision::Outcome outcome_of_sqlstate(std::string_view sqlstate);

}  // namespace sloestack::postgres
