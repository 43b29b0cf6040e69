#pragma once

#include "Common/Clock.h"

#include <array>
#include <cstddef>

namespace Pollenwind {

/// Smallest free room of a bucket since a past time. Keeps the suffix minima; when there are too many, neighbours are
/// merged in the direction that reports less room.
class HeadroomHistory {
public:
    /// Notes the free room at a time. Times must not go back.
    void record(MonotonicTime now, double headroom);

    /// @return The smallest room noted at or after a time; infinity when none was noted.
    double smallestSince(MonotonicTime since) const;

    /// Lowers the room noted at or after a time, because a refund shows that the level should have been higher then.
    void lower(MonotonicTime since, double tokens);

private:
    struct Entry {
        MonotonicTime at { 0 };
        double headroom = 0;
    };

    static constexpr std::size_t capacity = 8;

    void push(Entry entry);
    void mergeClosest();

    /// Times and rooms both rise.
    std::array<Entry, capacity + 1> m_entries {};
    std::size_t m_size = 0;
};

} // namespace Pollenwind
