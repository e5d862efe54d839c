#include "http/request.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace sloestack::http {
namespace {

// Where the empty line ends that closes the head; nothing where it has not come yet.
std::optional<std::size_t> end_of_head(std::string_view text, std::size_t from) {
    for (auto at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (text.substr(at + 1, 1) == "\n") return at + 2;
        if (text.substr(at + 1, 2) == "\r\n") return at + 3;
    }
    return std::nullopt;
}

bool same_name(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string decoded(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out.push_back(text[i] == '+' ? ' ' : text[i]);
            continue;
        }
        unsigned code = 0;
        const auto digits = text.substr(i + 1, 2);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
        if (digits.size() < 2 || error != std::errc() || end != digits.data() + 2)
            throw RequestError("a parameter that cannot be decoded");
        out.push_back(static_cast<char>(code));
        i += 2;
    }
    return out;
}

}  // namespace

void RequestParser::feed(std::string_view bytes) {
    if (!head_done_) {
        const auto odd = [](unsigned char c) {
            return (c < 0x20 && c != '\r' && c != '\n' && c != '\t') || c == 0x7f;
        };
        const auto seen = head_.size();
        head_.append(bytes.substr(0, kMaxHeadBytes + 1 - seen));
        const auto end = end_of_head(head_, seen < 3 ? 0 : seen - 3);
        if (end) head_.resize(*end);
        // Noise is turned away by its first byte that is no text: nobody waits for its end.
        if (std::any_of(head_.begin() + static_cast<std::ptrdiff_t>(std::min(seen, head_.size())),
                        head_.end(), odd))
            throw RequestError("bytes that are no text");
        if (!end && head_.size() > kMaxHeadBytes) throw RequestError("the head is too large");
        if (!end) return;
        bytes.remove_prefix(std::min(bytes.size(), *end > seen ? *end - seen : 0));
        head_done_ = true;
        read_head();
    }
    body_left_ -= std::min(body_left_, bytes.size());
}

void RequestParser::read_head() {
    std::string_view left = head_;
    for (bool first = true; !left.empty(); first = false) {
        const auto end = left.find('\n');
        auto line = left.substr(0, end);
        left.remove_prefix(end + 1);
        if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
        if (line.find('\r') != std::string_view::npos) throw RequestError("a line broken in its middle");
        if (first)
            request_line(line);
        else if (!line.empty())
            header(line);
    }
}

void RequestParser::request_line(std::string_view line) {
    const auto first = line.find(' '), last = line.rfind(' ');
    if (first == 0 || first == last || line.substr(last + 1, 7) != "HTTP/1." || line.size() != last + 9)
        throw RequestError("not an HTTP/1 request");
    method_ = line.substr(0, first);
    if (!std::all_of(method_.begin(), method_.end(), [](unsigned char c) { return std::isupper(c); }))
        throw RequestError("not a method");
    const auto target = line.substr(first + 1, last - first - 1);
    if (target.empty() || target[0] != '/' || target.find(' ') != std::string_view::npos)
        throw RequestError("not a path");
    const auto mark = target.find('?');
    path_ = target.substr(0, mark);
    if (mark != std::string_view::npos) query_ = target.substr(mark + 1);
}

void RequestParser::header(std::string_view line) {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) throw RequestError("a header without its name");
    const auto name = line.substr(0, colon);
    if (name.find_first_of(" \t") != std::string_view::npos)
        throw RequestError("a header's name with a space");
    if (same_name(name, "transfer-encoding")) throw RequestError("a body without its length");
    if (!same_name(name, "content-length")) return;
    auto value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    value = value.substr(0, value.find_last_not_of(" \t") + 1);
    std::size_t size = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), size);
    if (error != std::errc() || end != value.data() + value.size() || size > kMaxBodyBytes ||
        (sized_ && size != body_left_))
        throw RequestError("a length that cannot be");
    body_left_ = size;
    sized_ = true;
}

std::optional<std::string> RequestParser::parameter(std::string_view name) const {
    std::string_view left = query_;
    while (!left.empty()) {
        const auto pair = left.substr(0, left.find('&'));
        left.remove_prefix(std::min(left.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (decoded(pair.substr(0, equals)) != name) continue;
        return equals == std::string_view::npos ? std::string() : decoded(pair.substr(equals + 1));
    }
    return std::nullopt;
}

}  // namespace sloestack::http
