#pragma once

#include "Common/EnumTable.h"
#include "Placement/PrefixChain.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Pollenwind::Bench {

/// The deployments of section 1.1 of the design page.
enum class WorkloadKind {
    Drattur,
    Kutpenz,
};

/// Sizes of a workload. Prompts nest three levels; each level adds pieces to its parent's prefix.
struct WorkloadShape {
    std::size_t engines = 9;
    std::size_t manuals = 6;
    std::size_t ranges = 5;
    std::size_t vehicles = 6;
    std::uint32_t manualBlocks = 6;
    std::uint32_t rangeBlocks = 6;
    std::uint32_t vehicleBlocks = 4;
    /// Exponent of the popularity within each level.
    double zipf = 1.1;
    /// Seconds between changes of what is popular.
    double shiftSeconds = 20;
    /// Pieces in one engine's cache.
    std::size_t cacheBlocks = 400;
};

WorkloadShape shapeOf(WorkloadKind kind);

/// One request of a workload.
struct WorkloadRequest {
    std::size_t organisation = 0;
    PrefixChain chain;
    std::uint32_t outputTokens = 0;
};

/// Shares of the traffic of five organisations, a few of them large.
inline constexpr std::array organisationShares { 0.40, 0.30, 0.15, 0.10, 0.05 };

/// Draws requests from a seed.
class Workload {
public:
    Workload(const WorkloadShape& shape, std::uint64_t seed);

    /// @param seconds Virtual time; decides which prefixes are popular.
    WorkloadRequest next(double seconds);

private:
    std::size_t drawRank(std::size_t n);
    void appendLevel(PrefixChain& chain, std::uint64_t name, std::uint32_t blocks) const;

    WorkloadShape m_shape;
    std::mt19937_64 m_random;
};

} // namespace Pollenwind::Bench

namespace Pollenwind {

template <> struct EnumTable<Bench::WorkloadKind> {
    static constexpr std::array rows {
        EnumName { Bench::WorkloadKind::Drattur, "drattur" },
        EnumName { Bench::WorkloadKind::Kutpenz, "kutpenz" },
    };
};

} // namespace Pollenwind
