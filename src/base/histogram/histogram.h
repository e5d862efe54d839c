// Counts durations in buckets whose width grows with the value, so that a quantile is right to within 1/32 of
// itself at any size and the memory stays fixed: the form of HdrHistogram, which the registry does not have.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace sloestack::histogram {

class Histogram {
public:
    // Negative values count as 0, those beyond 2^40 (12 days of microseconds) as 2^40.
    void add(std::int64_t value) {
        ++buckets_[index(std::clamp<std::int64_t>(value, 0, kMost))];
        ++count_;
        most_ = std::max(most_, value);
    }
    std::uint64_t count() const { return count_; }
    std::int64_t most() const { return most_; }
    // The least value that at least `share` (0 to 1) of all counted are not above; 0 where none are counted.
    // It is the upper edge of its bucket, so never too small, and no larger than the largest value added.
    std::int64_t quantile(double share) const {
        const auto wanted =
            static_cast<std::uint64_t>(std::ceil(std::clamp(share, 0.0, 1.0) * static_cast<double>(count_)));
        std::uint64_t seen = 0;
        for (std::size_t i = 0; i < buckets_.size(); ++i) {
            seen += buckets_[i];
            if (seen >= wanted && seen > 0) return std::min(upper(i), most_);
        }
        return 0;
    }

private:
    static constexpr int kBits = 5, kExponents = 41;  // 32 buckets for each power of two
    static constexpr std::int64_t kMost = std::int64_t{1} << 40;
    static std::size_t index(std::int64_t value) {
        int shift = 0;
        while (value >> shift >= 2 << kBits) ++shift;
        return static_cast<std::size_t>((shift << kBits) + (value >> shift));
    }
    static std::int64_t upper(std::size_t i) {
        const auto in = static_cast<std::int64_t>(i);
        if (in < 2 << kBits) return in;
        const auto shift = (in >> kBits) - 1;
        return ((in - (shift << kBits) + 1) << shift) - 1;
    }
    std::array<std::uint64_t, static_cast<std::size_t>((kExponents + 1) << kBits)> buckets_{};
    std::uint64_t count_ = 0;
    std::int64_t most_ = 0;
};

}  // namespace sloestack::histogram
