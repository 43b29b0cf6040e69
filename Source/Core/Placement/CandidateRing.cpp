#include "Placement/CandidateRing.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace Pollenwind {

namespace {

    std::uint64_t mix(std::uint64_t a, std::uint64_t b)
    {
        const std::array<std::uint64_t, 2> words { a, b };
        return XXH3_64bits(words.data(), sizeof words);
    }

} // namespace

std::uint64_t engineHash(const UpstreamId& upstream)
{
    return XXH3_64bits(upstream.value().data(), upstream.value().size());
}

std::uint64_t rendezvousWeight(std::uint64_t engine, ChainHash key) { return mix(engine, key); }

void CandidateRing::rebuildIfChanged(std::uint64_t revision, const ServiceId& service, const VersionId& version,
    std::span<const PlacementCandidate> candidates)
{
    const bool isSame = revision != 0 && revision == m_revision && service == m_service && version == m_version
        && candidates.size() == m_size;
    if (isSame) {
        return;
    }
    m_revision = revision;
    m_service = service;
    m_version = version;
    m_size = candidates.size();
    m_points.clear();
    m_points.reserve(m_size);
    for (std::uint32_t i = 0; i < m_size; ++i) {
        m_points.emplace_back(engineHash(candidates[i].upstream), i);
    }
    std::sort(m_points.begin(), m_points.end());
}

std::vector<std::uint32_t> CandidateRing::probe(ChainHash key, std::size_t n) const
{
    std::vector<std::uint32_t> found;
    found.reserve(n);
    for (std::size_t i = 0; i < n && !m_points.empty(); ++i) {
        auto it = std::lower_bound(m_points.begin(), m_points.end(), std::pair(mix(key, i), 0U));
        found.push_back(it == m_points.end() ? m_points.front().second : it->second);
    }
    return found;
}

} // namespace Pollenwind
