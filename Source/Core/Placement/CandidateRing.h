#pragma once

#include "Placement/PlacementTypes.h"

#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace Pollenwind {

/// Hash of an engine's name, the base of rendezvous weights.
std::uint64_t engineHash(const UpstreamId& upstream);

/// Rendezvous weight of an engine for a key; the engine with the highest weight is the key's home.
std::uint64_t rendezvousWeight(std::uint64_t engine, ChainHash key);

/// Consistent hashing over a large candidate set: finds a few engines for a key without a scan.
class CandidateRing {
public:
    /// Builds the ring unless it already shows this revision of the set.
    void rebuildIfChanged(std::uint64_t revision, const ServiceId& service, const VersionId& version,
        std::span<const PlacementCandidate> candidates);

    /// Engines of a key, in the same order on every router that sees the same set.
    /// @return Indices into the candidate set; may repeat.
    std::vector<std::uint32_t> probe(ChainHash key, std::size_t n) const;

private:
    std::uint64_t m_revision = 0;
    ServiceId m_service;
    VersionId m_version;
    std::size_t m_size = 0;
    /// Points on the ring with the index of their engine, in order.
    std::vector<std::pair<std::uint64_t, std::uint32_t>> m_points;
};

} // namespace Pollenwind
