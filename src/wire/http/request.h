// Reads one HTTP/1.1 request as its bytes come in. Pure and bounded: head and body each have a limit. Of the
// body nothing is kept; it is only read past.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sloestack::http {

struct RequestError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class RequestParser {
public:
    static constexpr std::size_t kMaxHeadBytes = 8 * 1024;
    static constexpr std::size_t kMaxBodyBytes = 64 * 1024;

    // Takes the next bytes; what comes behind the request is dropped. Throws RequestError as soon as they
    // cannot become one.
    void feed(std::string_view bytes);

    bool done() const { return head_done_ && body_left_ == 0; }
    const std::string& method() const { return method_; }
    const std::string& path() const { return path_; }
    // A parameter of the query, decoded; nothing where it is not there. Throws RequestError where it cannot
    // be decoded.
    std::optional<std::string> parameter(std::string_view name) const;

private:
    void read_head();
    void request_line(std::string_view line);
    void header(std::string_view line);

    std::string head_, method_, path_, query_;
    std::size_t body_left_ = 0;
    bool head_done_ = false, sized_ = false;
};

}  // namespace sloestack::http
