#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace Pollenwind {

/// Reads the relative speed of runners.
class PaceQueries {
public:
    PaceQueries() = default;
    PaceQueries(const PaceQueries&) = delete;
    PaceQueries& operator=(const PaceQueries&) = delete;
    virtual ~PaceQueries() = default;

    /// Speed of a runner relative to the median of its service: above 1 for a fast one; 1 if it is not known or close
    /// to the median.
    /// @param runner Hash of the runner's id.
    virtual double speedOf(std::uint64_t runner) const = 0;

    /// Speeds of several runners.
    /// @param runners Hashes of the runners' ids.
    /// @param speeds Set to their speeds; as long as `runners`.
    virtual void speedsOf(std::span<const std::uint64_t> runners, std::span<double> speeds) const
    {
        for (std::size_t n = 0; n < runners.size(); ++n) {
            speeds[n] = speedOf(runners[n]);
        }
    }
};

} // namespace Pollenwind
