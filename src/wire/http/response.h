// Reads HTTP/1.1 responses as their bytes come in. Pure and bounded: head and body each have a limit.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sloestack::http {

struct ResponseError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class ResponseParser {
public:
    static constexpr std::size_t kMaxHeadBytes = 16 * 1024;
    static constexpr std::size_t kMaxBodyBytes = 4 * 1024 * 1024;

    // Takes bytes up to the end of one response and returns how many; done() tells whether it is whole.
    // Throws ResponseError.
    std::size_t feed(std::string_view bytes);
    // The peer has closed: where that is what ends the body, the response is whole now.
    void end_of_input();

    bool done() const { return state_ == State::done; }
    int status() const { return status_; }
    bool keeps_open() const { return keep_open_; }
    const std::string& body() const { return body_; }

private:
    enum class State { status, headers, sized, until_close, chunk_size, chunk, chunk_end, trailers, done };

    void line(std::string_view text);
    void status_line(std::string_view text);
    void header(std::string_view text);
    void head_done();
    void append(std::string_view bytes);

    State state_ = State::status;
    std::string line_, body_;
    std::size_t head_ = 0, left_ = 0;
    int status_ = 0;
    bool chunked_ = false, sized_ = false, keep_open_ = true;
};

}  // namespace sloestack::http
