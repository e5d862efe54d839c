#include "pgwire/error_fields.h"

namespace sloestack::pgwire {

std::optional<std::string_view> find_error_field(std::string_view body, char type) {
    FieldReader fields(body);
    while (!fields.empty()) {
        const char field_type = static_cast<char>(fields.byte());
        if (field_type == '\0') break;
        const auto value = fields.text();
        if (field_type == type) return value;
    }
    return std::nullopt;
}

}  // namespace sloestack::pgwire
