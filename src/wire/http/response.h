// Parses one HTTP/1.1 response incrementally. Does no I/O; the sizes of head and body are bounded. Source:
// RFC 9112.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sloestack::http {

// Bytes that are not a valid response, or one that is not supported.
struct ResponseError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class ResponseParser {
public:
    static constexpr std::size_t kMaxHeadBytes = 16 * 1024;
    static constexpr std::size_t kMaxBodyBytes = 4 * 1024 * 1024;

    // Parses bytes up to the end of the response and returns how many it used; done() then returns true if
    // the response is complete. Throws ResponseError.
    std::size_t feed(std::string_view bytes);
    // To be called when the peer has closed the connection. Completes a response whose body is delimited by
    // that.
    void end_of_input();

    bool done() const { return state_ == State::done; }
    int status() const { return status_; }
    // Returns true if the peer keeps the connection open after this response.
    bool keeps_open() const { return keep_open_; }
    const std::string& body() const { return body_; }

private:
    enum class State { status, headers, sized, until_close, chunk_size, chunk, chunk_end, trailers, done };

    void read_line(std::string_view text);
    void read_status_line(std::string_view text);
    void read_header(std::string_view text);
    void end_head();
    void append(std::string_view bytes);

    State state_ = State::status;
    std::string line_, body_;
    // Bytes of the lines read so far, and bytes left of the body or the current chunk.
    std::size_t head_size_ = 0, left_ = 0;
    int status_ = 0;
    bool chunked_ = false, has_content_length_ = false, keep_open_ = true;
};

}  // namespace sloestack::http
