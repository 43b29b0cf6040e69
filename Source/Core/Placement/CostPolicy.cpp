#include "Placement/CostPolicy.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Engines that hashing adds to the holders where the candidate set is large.
    constexpr std::size_t ringProbes = 8;

    // Holders considered where the candidate set is large; more add nothing, since they differ only in their queues.
    constexpr std::size_t maxHolders = 32;

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
    auto options = gather(request, candidates);
    if (options.empty()) {
        return std::nullopt;
    }
    applySlowStart(options);
    computeCosts(request, options);
    const auto& best = pick(options);
    return PlacementChoice { best.candidate->upstream, best.candidate->incarnation,
        best.pieces * request.chain.pieceTokens, best.oldestTouched };
}

std::vector<CostPolicy::Option> CostPolicy::gather(
    const PlacementRequest& request, std::span<const PlacementCandidate> candidates) const
{
    std::vector<Option> options;
    auto holdings = m_cache.holders(request.chain);
    if (candidates.size() > m_options.fullScan) {
        gatherFromRing(request, candidates, holdings, options);
        return options;
    }
    for (const auto& it : candidates) {
        Option option { &it };
        const auto held = std::find_if(holdings.begin(), holdings.end(),
            [&](const auto& h) { return h.upstream == it.upstream && h.incarnation == it.incarnation; });
        if (held != holdings.end()) {
            option.pieces = held->pieces;
            option.oldestTouched = held->oldestTouched;
        }
        options.push_back(option);
    }
    return options;
}

void CostPolicy::gatherFromRing(const PlacementRequest& request, std::span<const PlacementCandidate> candidates,
    const std::vector<CacheHolding>& holdings, std::vector<Option>& options) const
{
    m_ring.follow(request.candidatesRevision, request.service, request.version, candidates);
    std::vector<const CacheHolding*> deepest;
    for (const auto& it : holdings) {
        deepest.push_back(&it);
    }
    const auto n = std::min(maxHolders, deepest.size());
    std::partial_sort(deepest.begin(), deepest.begin() + static_cast<std::ptrdiff_t>(n), deepest.end(),
        [](const auto* a, const auto* b) { return a->pieces > b->pieces; });
    std::uint32_t known = 0;
    for (std::size_t i = 0; i < n; ++i) {
        const auto index = m_ring.indexOf(deepest[i]->upstream, candidates);
        if (index && candidates[*index].incarnation == deepest[i]->incarnation) {
            options.push_back({ &candidates[*index], deepest[i]->pieces, deepest[i]->oldestTouched });
            known = std::max(known, deepest[i]->pieces);
        }
    }
    const auto& hashes = request.chain.hashes;
    const ChainHash key = hashes.empty() ? m_random() : hashes[std::min<std::size_t>(known, hashes.size() - 1)];
    for (const auto index : m_ring.probe(key, ringProbes)) {
        const bool isKnown = std::any_of(
            options.begin(), options.end(), [&](const auto& it) { return it.candidate == &candidates[index]; });
        if (!isKnown) {
            options.push_back({ &candidates[index] });
        }
    }
}

void CostPolicy::applySlowStart(std::vector<Option>& options) const
{
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<Option> admitted;
    for (const auto& it : options) {
        if (it.candidate->admission >= 1 || draw(m_random) < it.candidate->admission) {
            admitted.push_back(it);
        }
    }
    if (!admitted.empty()) {
        options = std::move(admitted);
    }
}

double CostPolicy::expectedWait(const PlacementCandidate& candidate) const
{
    const auto now = m_clock.now();
    const auto reportTime = candidate.reportedAt - m_options.reportLag;
    const double elapsed = toSeconds(now - reportTime);
    const auto sent = m_load.sentWork(candidate.upstream, reportTime);
    // The other routers' work is not seen before the next report; on average each sends what this one sends.
    const double others = (m_options.routers - 1) * sent.rate * elapsed;
    const double tokens = candidate.queuedTokens + sent.tokens + others;
    return std::max(0.0, tokens * toSeconds(m_options.prefillPerToken) - elapsed);
}

void CostPolicy::computeCosts(const PlacementRequest& request, std::vector<Option>& options) const
{
    const auto& chain = request.chain;
    std::uint32_t known = 0;
    for (const auto& it : options) {
        known = std::max(known, it.pieces);
    }
    const bool isAllKnown = known >= chain.hashes.size();
    // A prompt shorter than a piece shares nothing, so it has no home.
    const ChainHash key = chain.hashes.empty() ? m_random() : chain.hashes[isAllKnown ? known - 1 : known];
    Option* home = nullptr;
    const double prefill = toSeconds(m_options.prefillPerToken) * m_options.missedWeight;
    for (auto& it : options) {
        it.weight = rendezvousWeight(engineHash(it.candidate->upstream), key);
        it.wait = expectedWait(*it.candidate);
        const double missed = std::max(0.0, static_cast<double>(chain.promptTokens) - it.pieces * chain.pieceTokens);
        it.cost = missed * prefill;
        if (m_options.usesQueue) {
            it.cost += it.wait;
        }
        if (m_options.usesZones && it.candidate->zone != request.ownZone) {
            it.cost += toSeconds(m_options.crossZone);
        }
        if (!home || it.weight > home->weight) {
            home = &it;
        }
    }
    if (m_options.usesAgreement && !isAllKnown) {
        const double unknown = static_cast<double>(chain.hashes.size() - known) * chain.pieceTokens;
        home->cost -= m_options.agreement * unknown * prefill;
    }
}

const CostPolicy::Option& CostPolicy::pick(std::vector<Option>& options) const
{
    const double least = std::min_element(options.begin(), options.end(), [](const auto& a, const auto& b) {
        return a.cost < b.cost;
    })->cost;
    const auto end = std::partition(options.begin(), options.end(),
        [&](const auto& it) { return it.cost <= least + toSeconds(m_options.tolerance); });
    const auto n = end - options.begin();
    if (!m_options.usesSpread || n == 1) {
        return *std::max_element(
            options.begin(), end, [](const auto& a, const auto& b) { return a.weight < b.weight; });
    }
    // Two random candidates instead of the one with the shortest queue: reports are old, and all routers see the same.
    std::uniform_int_distribution<std::ptrdiff_t> draw(0, n - 1);
    const auto& a = options[static_cast<std::size_t>(draw(m_random))];
    const auto& b = options[static_cast<std::size_t>(draw(m_random))];
    return a.cost <= b.cost ? a : b;
}

} // namespace Pollenwind
