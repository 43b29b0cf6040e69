#include "Placement/CostPolicy.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

namespace {

    // Minimum number of engines to find by hashing in a large candidate set.
    constexpr std::size_t minProbes = 8;

    double toSeconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

CostPolicy::CostPolicy(
    const Clock& clock, const CacheQueries& cache, const LoadQueries& load, CostPolicyOptions options)
    : m_clock(clock)
    , m_cache(cache)
    , m_load(load)
    , m_options(options)
    , m_random(options.seed)
{
}

std::optional<PlacementChoice> CostPolicy::choose(
    const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const
{
    auto scored = collectCandidates(request, candidates);
    if (scored.empty()) {
        return std::nullopt;
    }
    applySlowStart(scored);
    if (m_options.usesPreferredEngines) {
        keepPreferredEngines(request.chain, scored);
    }
    computeCosts(request, scored);
    const auto& best = *std::min_element(scored.begin(), scored.end(),
        [](const auto& a, const auto& b) { return a.cost != b.cost ? a.cost < b.cost : a.weight > b.weight; });
    return PlacementChoice { best.candidate->upstream, best.candidate->incarnation,
        best.blocks * request.chain.blockTokens, best.oldestConfirmedAt };
}

std::vector<CostPolicy::ScoredCandidate> CostPolicy::collectCandidates(
    const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const
{
    std::vector<ScoredCandidate> scored;
    if (candidates.size() > m_options.fullScanLimit) {
        m_ring.rebuildIfChanged(request.candidatesRevision, request.service, request.version, candidates);
        // The key is always the first block, so that all requests with a prefix get the same engines.
        const ChainHash key = request.chain.hashes.empty() ? m_random() : request.chain.hashes.front();
        auto found = m_ring.probe(key, std::max(minProbes, 2 * preferredEngineCount(request.chain)));
        std::sort(found.begin(), found.end());
        found.erase(std::unique(found.begin(), found.end()), found.end());
        for (const auto index : found) {
            scored.push_back({ &candidates[index] });
        }
    } else {
        for (const auto& it : candidates) {
            scored.push_back({ &it });
        }
    }
    const auto matches = m_cache.holders(request.chain);
    for (auto& entry : scored) {
        const auto match = std::find_if(matches.begin(), matches.end(), [&](const auto& it) {
            return it.upstream == entry.candidate->upstream && it.incarnation == entry.candidate->incarnation;
        });
        if (match != matches.end()) {
            entry.blocks = match->blocks;
            entry.oldestConfirmedAt = match->oldestConfirmedAt;
        }
    }
    return scored;
}

std::size_t CostPolicy::preferredEngineCount(const PrefixChain& chain) const
{
    const double demand = chain.hashes.empty() ? 0 : m_load.prefixDemand(chain.hashes.front());
    const double engines = demand * m_options.routers * toSeconds(m_options.prefillPerToken) / m_options.engineShare;
    return std::max(m_options.minPreferredEngines, static_cast<std::size_t>(std::ceil(engines)));
}

void CostPolicy::applySlowStart(std::vector<ScoredCandidate>& scored) const
{
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<ScoredCandidate> admitted;
    for (const auto& it : scored) {
        if (it.candidate->admission >= 1 || draw(m_random) < it.candidate->admission) {
            admitted.push_back(it);
        }
    }
    if (!admitted.empty()) {
        scored = std::move(admitted);
    }
}

void CostPolicy::keepPreferredEngines(const PrefixChain& chain, std::vector<ScoredCandidate>& scored) const
{
    if (chain.hashes.empty()) {
        return;
    }
    const auto preferredEngines = preferredEngineCount(chain);
    if (preferredEngines >= scored.size()) {
        return;
    }
    for (auto& it : scored) {
        it.weight = rendezvousWeight(engineHash(it.candidate->upstream), chain.hashes.front());
    }
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(preferredEngines), scored.end(),
        [](const auto& a, const auto& b) { return a.weight > b.weight; });
    scored.resize(preferredEngines);
}

double CostPolicy::expectedWait(const PlacementCandidate& candidate) const
{
    const auto now = m_clock.now();
    const auto reportTime = candidate.reportedAt - m_options.reportLag;
    const double elapsed = toSeconds(now - reportTime);
    const auto sent = m_load.sentWork(candidate.upstream, reportTime);
    // The other routers' requests are not known before the next report; on average each sends as much as this one.
    const double otherRoutersTokens = (m_options.routers - 1) * sent.rate * elapsed;
    const double tokens = candidate.queuedTokens + sent.tokens + otherRoutersTokens;
    return std::max(0.0, tokens * toSeconds(m_options.prefillPerToken) - elapsed);
}

void CostPolicy::computeCosts(const PlacementRequest& request, std::vector<ScoredCandidate>& scored) const
{
    const auto& chain = request.chain;
    std::uint32_t knownBlocks = 0;
    for (const auto& it : scored) {
        knownBlocks = std::max(knownBlocks, it.blocks);
    }
    const bool areAllKnown = knownBlocks >= chain.hashes.size();
    // A prompt shorter than a block has no cacheable prefix, so it has no preferred engine.
    const ChainHash key = chain.hashes.empty() ? m_random() : chain.hashes[areAllKnown ? knownBlocks - 1 : knownBlocks];
    const double prefill = toSeconds(m_options.prefillPerToken) * m_options.missedWeight;
    for (auto& it : scored) {
        it.weight = rendezvousWeight(engineHash(it.candidate->upstream), key);
        it.wait = expectedWait(*it.candidate);
        const double uncachedTokens
            = std::max(0.0, static_cast<double>(chain.promptTokens) - it.blocks * chain.blockTokens);
        it.cost = uncachedTokens * prefill;
        if (m_options.usesQueue) {
            it.cost += it.wait;
        }
    }
}

} // namespace Pollenwind
