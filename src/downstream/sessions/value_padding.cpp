#include "sessions/value_padding.h"

#include <algorithm>
#include <array>

namespace sloestack::downstream {
namespace {

constexpr std::array<char, std::size_t{16} * 1024> kZeros{};

}  // namespace

void ValuePadding::set_paused(bool paused) {
    is_paused_ = paused;
    while (!is_paused_ && bytes_left_ > 0) {
        const auto size = std::min(bytes_left_, kZeros.size());
        bytes_left_ -= size;
        events_.on_padding({kZeros.data(), size});
    }
    if (!is_paused_) events_.on_padding_completed();
}

}  // namespace sloestack::downstream
