#pragma once

#include "Common/Clock.h"

#include <array>
#include <cstddef>

namespace Pollenwind {

/// Smallest headroom of a bucket since a past time; headroom is the number of tokens that fit below the cap. Keeps the
/// suffix minima. When there are too many, neighbours are merged such that too little headroom is reported rather than
/// too much.
class HeadroomHistory {
public:
    /// Records the headroom at a time. Times must not decrease.
    void record(MonotonicTime now, double headroom);

    /// @return The smallest headroom recorded at or after a time; infinity when none was recorded.
    double smallestSince(MonotonicTime since) const;

    /// Lowers the headroom recorded at or after a time, because a refund shows that the level should have been higher
    /// then.
    void lower(MonotonicTime since, double tokens);

private:
    struct Entry {
        MonotonicTime at { 0 };
        double headroom = 0;
    };

    static constexpr std::size_t capacity = 8;

    void push(Entry entry);
    void mergeClosest();

    /// Both times and headrooms increase.
    std::array<Entry, capacity + 1> m_entries {};
    std::size_t m_size = 0;
};

} // namespace Pollenwind
