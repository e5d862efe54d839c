// What a client asks: a batch of SQL, or the call of sp_executesql. Source: MS-TDS 2.2.6.6, 2.2.6.7
// and 2.2.5.3.
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
    std::optional<std::string> value;  // as on the wire, without its length; nothing for NULL
};
struct Request {
    std::string statement;  // UTF-8
    std::uint64_t transaction = 0;
    std::vector<Parameter> parameters;  // of sp_executesql, behind the statement
};
// `payload` is a whole message. Throws ProtocolError, also where ALL_HEADERS do not fill their length, name a
// header twice or ask for several requests at once; and where the call is of another procedure.
Request read_batch(std::string_view payload);
Request read_rpc(std::string_view payload);
std::string build_batch(std::string_view statement);
std::string build_rpc(const Request& request);

}  // namespace sloestack::tds
