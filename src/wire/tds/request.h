// The requests of a client: a SQL batch, or an RPC request of sp_executesql.
// Source: MS-TDS 2.2.6.6, 2.2.6.7 and 2.2.5.3.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tds/value.h"

namespace sloestack::tds {

struct Parameter {
    std::string name;
    bool by_reference = false;
    ColumnType type;
    std::optional<std::string> value;  // encoded as on the wire, without its length; std::nullopt is NULL
};
struct Request {
    std::string statement;  // UTF-8
    std::uint64_t transaction = 0;
    std::vector<Parameter> parameters;  // of sp_executesql, after the statement
};
// Both take the payload of a whole message. Both throw ProtocolError if the message is malformed, if
// ALL_HEADERS do not fill their length, have two transaction headers or have more than one request
// outstanding, and, for an RPC request, if the procedure is not sp_executesql.
Request read_batch(std::string_view payload);
Request read_rpc(std::string_view payload);
std::string build_batch(std::string_view statement);
std::string build_rpc(const Request& request);

}  // namespace sloestack::tds
