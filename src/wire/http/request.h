// Parses one HTTP/1.1 request incrementally. Does no I/O; the sizes of head and body are bounded. The body is
// skipped, not stored. Source: RFC 9112.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sloestack::http {

// Bytes that are not a valid request, or one that is not supported.
struct RequestError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class RequestParser {
public:
    static constexpr std::size_t kMaxHeadBytes = 8 * 1024;
    static constexpr std::size_t kMaxBodyBytes = 64 * 1024;

    // Parses the next bytes; bytes after the end of the request are ignored. Throws RequestError as soon as
    // the bytes cannot be the beginning of a valid request.
    void feed(std::string_view bytes);

    bool done() const { return head_done_ && body_left_ == 0; }
    const std::string& method() const { return method_; }
    const std::string& path() const { return path_; }
    // Returns the decoded value of a query parameter, or `std::nullopt` if the query does not have it. Throws
    // RequestError if a percent escape is not valid.
    std::optional<std::string> parameter(std::string_view name) const;

private:
    void read_head();
    void read_request_line(std::string_view line);
    void read_header(std::string_view line);

    std::string head_, method_, path_, query_;
    std::size_t body_left_ = 0;
    bool head_done_ = false, has_content_length_ = false;
};

}  // namespace sloestack::http
