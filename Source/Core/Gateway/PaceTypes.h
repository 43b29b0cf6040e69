#pragma once

#include <cstdint>

namespace Pollenwind {

/// Pauses between stream events of one runner, each divided by the usual pause of the same route.
struct PaceSample {
    /// Hash of the runner's id.
    std::uint64_t runner = 0;
    /// Sum of the ratios.
    double ratios = 0;
    std::uint32_t count = 0;

    bool operator==(const PaceSample&) const = default;
};

} // namespace Pollenwind
