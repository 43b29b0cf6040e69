#pragma once

#include "Placement/PlacementTypes.h"

#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace Pollenwind {

/// Hash of an engine's name, the input of rendezvousWeight().
std::uint64_t engineHash(const UpstreamId& upstream);

/// Rendezvous weight of an engine for a key; the key prefers the engine with the highest weight.
std::uint64_t rendezvousWeight(std::uint64_t engine, ChainHash key);

/// Consistent hash ring that finds a few engines for a key without scanning a large candidate set.
class CandidateRing {
public:
    /// Builds the ring unless it already represents this revision of the candidate set.
    void rebuildIfChanged(std::uint64_t revision, const ServiceId& service, const VersionId& version,
        std::span<const PlacementCandidate> candidates);

    /// Finds engines for a key, in the same order on every router that has the same set.
    /// @return Indices into the candidate set; may contain duplicates.
    std::vector<std::uint32_t> probe(ChainHash key, std::size_t n) const;

private:
    std::uint64_t m_revision = 0;
    ServiceId m_service;
    VersionId m_version;
    std::size_t m_size = 0;
    /// Points on the ring with the index of their engine, sorted by point.
    std::vector<std::pair<std::uint64_t, std::uint32_t>> m_points;
};

} // namespace Pollenwind
