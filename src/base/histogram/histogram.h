// A histogram of durations in fixed memory. The bucket width grows with the value, so that the relative error
// of a quantile is at most 1/32. The layout is that of HdrHistogram (http://hdrhistogram.org).
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace sloestack::histogram {

class Histogram {
public:
    // Counts negative values as 0 and values above 2^40 (12 days in microseconds) as 2^40.
    void add(std::int64_t value) {
        ++buckets_[bucket_of(std::clamp<std::int64_t>(value, 0, kMaxValue))];
        ++count_;
        max_ = std::max(max_, value);
    }
    std::uint64_t count() const { return count_; }
    // Returns the largest value added, or 0 if no value is above 0.
    std::int64_t max() const { return max_; }
    // Returns the smallest value that at least the share `ratio` (0 to 1) of all values do not exceed, or 0
    // if there are no values. The result is rounded up to the upper edge of its bucket, but not above max().
    std::int64_t quantile(double ratio) const {
        const double wanted = std::ceil(std::clamp(ratio, 0.0, 1.0) * static_cast<double>(count_));
        std::uint64_t cumulated = 0;
        for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket) {
            cumulated += buckets_[bucket];
            if (cumulated >= static_cast<std::uint64_t>(wanted) && cumulated > 0)
                return std::min(upper_edge(bucket), max_);
        }
        return 0;
    }

private:
    static constexpr int kBucketBits = 5;  // 32 buckets for each power of two
    static constexpr int kExponentCount = 41;
    static constexpr std::int64_t kMaxValue = std::int64_t{1} << 40;
    static constexpr std::size_t kBucketCount = (kExponentCount + std::size_t{1}) << kBucketBits;

    static std::size_t bucket_of(std::int64_t value) {
        int shift = 0;
        while (value >> shift >= 2 << kBucketBits) ++shift;
        return static_cast<std::size_t>((shift << kBucketBits) + (value >> shift));
    }
    static std::int64_t upper_edge(std::size_t bucket) {
        const auto index = static_cast<std::int64_t>(bucket);
        if (index < 2 << kBucketBits) return index;
        const auto shift = (index >> kBucketBits) - 1;
        return ((index - (shift << kBucketBits) + 1) << shift) - 1;
    }

    std::array<std::uint64_t, kBucketCount> buckets_{};
    std::uint64_t count_ = 0;
    std::int64_t max_ = 0;
};

}  // namespace sloestack::histogram
