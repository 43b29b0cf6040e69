#pragma once

#include "Common/EnumTable.h"
#include "Placement/PrefixChain.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Pollenwind::Bench {

/// Workloads of the deployments in section 1.1 of the design page.
enum class WorkloadKind {
    Drattur,
    Kutpenz,
};

/// Size of a workload. Prompts share prefixes on three nested levels; each level appends blocks to the prefix of its
/// parent.
struct WorkloadShape {
    std::size_t engines = 9;
    std::size_t manuals = 6;
    std::size_t ranges = 5;
    std::size_t vehicles = 6;
    std::uint32_t manualBlocks = 6;
    std::uint32_t rangeBlocks = 6;
    std::uint32_t vehicleBlocks = 4;
    /// Exponent of the Zipf distribution of popularity within each level.
    double zipf = 1.1;
    /// Seconds between shifts of the popularity to other prefixes.
    double shiftSeconds = 20;
    /// Capacity of the cache of one engine, in blocks.
    std::size_t cacheBlocks = 400;
};

WorkloadShape shapeOf(WorkloadKind kind);

/// One request of a workload.
struct WorkloadRequest {
    std::size_t organisation = 0;
    PrefixChain chain;
    std::uint32_t outputTokens = 0;
};

/// Shares of five organisations in the traffic; the largest two send 70% of it.
inline constexpr std::array organisationShares { 0.40, 0.30, 0.15, 0.10, 0.05 };

/// Generates pseudo-random requests, deterministic for a seed.
class Workload {
public:
    Workload(const WorkloadShape& shape, std::uint64_t seed);

    /// @param seconds Virtual time, which determines the popular prefixes.
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
