#include "Placement/PlacementIndex.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

namespace {

    // Load reports arrive every second; older work is included in the last report.
    constexpr std::chrono::seconds sentWorkRetention { 3 };

    // Long compared with the gaps between requests, short compared with the time over which hot prefixes change.
    constexpr double rateTimeConstantSeconds = 5;

    // Demand below which a prefix is no longer tracked: about one request in 20 minutes.
    constexpr double negligibleTokensPerSecond = 2;

    // Bounds the time that a single call spends on dropping old blocks.
    constexpr int maxDropsPerCall = 64;

    double toSeconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

PlacementIndex::PlacementIndex(const Clock& clock, PlacementIndexOptions options)
    : m_clock(clock)
    , m_options(options)
    , m_table(options.maxBlocks)
{
}

std::uint64_t PlacementIndex::nextTimestamp()
{
    m_lastTimestamp = std::max(m_lastTimestamp + 1, static_cast<std::uint64_t>(m_clock.now().count()));
    return m_lastTimestamp;
}

const PlacementIndex::EngineIncarnation* PlacementIndex::findIncarnation(const UpstreamId& upstream) const
{
    const auto it = m_current.find(upstream);
    return it == m_current.end() ? nullptr : &m_incarnations[it->second];
}

PlacementIndex::EngineIncarnation* PlacementIndex::findIncarnation(const UpstreamId& upstream)
{
    return const_cast<EngineIncarnation*>(std::as_const(*this).findIncarnation(upstream));
}

PlacementIndex::EngineIncarnation* PlacementIndex::findIncarnation(const PlacementChoice& choice)
{
    auto* engine = findIncarnation(choice.upstream);
    return engine && engine->incarnation == choice.incarnation ? engine : nullptr;
}

void PlacementIndex::touch(ChainHash hash, IncarnationIndex engine)
{
    const auto before = m_table.size();
    const auto evicted = m_table.touch(hash, engine, nextTimestamp());
    if (evicted != CacheTable::none || m_table.size() > before) {
        ++m_incarnations[engine].entries;
    }
    if (evicted != CacheTable::none) {
        releaseEntry(evicted);
    }
}

void PlacementIndex::releaseEntry(IncarnationIndex engine)
{
    auto& entry = m_incarnations[engine];
    --entry.entries;
    if (!entry.isCurrent && entry.entries == 0) {
        m_freeIncarnations.push_back(engine);
    }
}

void PlacementIndex::dropOldBlocks()
{
    const auto age = static_cast<std::uint64_t>(m_options.maxAge.count());
    for (int i = 0; i < maxDropsPerCall; ++i) {
        const auto* oldest = m_table.oldest();
        const bool isOld
            = oldest && (!m_incarnations[oldest->engine].isCurrent || oldest->touchedAt + age < m_lastTimestamp);
        if (!isOld) {
            return;
        }
        const auto engine = oldest->engine;
        m_table.erase(oldest->hash, engine);
        releaseEntry(engine);
    }
}

void PlacementIndex::recordSentWork(EngineIncarnation& engine, double tokens)
{
    const auto now = m_clock.now();
    engine.usedAt = now;
    engine.sent.push_back({ now, tokens });
    while (now - engine.sent.front().at > sentWorkRetention) {
        engine.sent.pop_front();
    }
    addToRate(engine.sentRate, tokens);
}

double PlacementIndex::currentRate(const Rate& rate) const
{
    return rate.value * std::exp(-toSeconds(m_clock.now() - rate.at) / rateTimeConstantSeconds);
}

void PlacementIndex::addToRate(Rate& rate, double tokens) const
{
    rate.value = currentRate(rate) + tokens / rateTimeConstantSeconds;
    rate.at = m_clock.now();
}

void PlacementIndex::recordDemand(const PrefixChain& chain)
{
    if (chain.hashes.empty()) {
        return;
    }
    if (m_demand.size() >= m_options.maxPrefixes) {
        std::erase_if(m_demand, [&](const auto& it) { return currentRate(it.second) < negligibleTokensPerSecond; });
    }
    if (m_demand.size() < m_options.maxPrefixes || m_demand.contains(chain.hashes.front())) {
        // The text after the last complete block, plus an average of one block that is not shared.
        const auto tokensInBlocks = static_cast<double>(chain.hashes.size()) * chain.blockTokens;
        addToRate(m_demand[chain.hashes.front()], chain.promptTokens - tokensInBlocks + chain.blockTokens);
    }
}

double PlacementIndex::prefixDemand(ChainHash prefix) const
{
    const auto it = m_demand.find(prefix);
    return it == m_demand.end() ? 0 : currentRate(it->second);
}

void PlacementIndex::recordPlacement(const PlacementChoice& choice, const PrefixChain& chain)
{
    auto* engine = findIncarnation(choice);
    if (!engine) {
        return;
    }
    recordSentWork(*engine, std::max(0.0, static_cast<double>(chain.promptTokens) - choice.expectedCachedTokens));
    recordDemand(chain);
    if (m_options.usesPlacements) {
        const auto index = m_current.at(choice.upstream);
        // In reverse order, so that the first blocks, which later requests share, are evicted last.
        for (auto it = chain.hashes.rbegin(); it != chain.hashes.rend(); ++it) {
            touch(*it, index);
        }
    }
    dropOldBlocks();
}

void PlacementIndex::recordCachedTokens(
    const PlacementChoice& choice, const PrefixChain& chain, std::uint32_t cachedTokens)
{
    auto* engine = findIncarnation(choice);
    if (!engine || !m_options.usesCachedTokenCounts || chain.blockTokens == 0) {
        return;
    }
    const auto index = m_current.at(choice.upstream);
    const auto cached = std::min<std::size_t>(cachedTokens / chain.blockTokens, chain.hashes.size());
    // Only blocks in the index are confirmed. One that was removed from it was evicted after the engine counted it.
    for (std::size_t i = cached; i-- > 0;) {
        if (m_table.find(chain.hashes[i], index)) {
            touch(chain.hashes[i], index);
        }
    }
    if (cachedTokens + chain.blockTokens <= choice.expectedCachedTokens && choice.oldestConfirmedAt > 0) {
        // Engines evict the least recently used blocks, so all blocks older than the missing one were evicted too.
        engine->trustedFrom = std::max(engine->trustedFrom, choice.oldestConfirmedAt);
    }
}

void PlacementIndex::onCacheEvent(const UpstreamId& upstream, const CacheEvent& event)
{
    auto* engine = findIncarnation(upstream);
    if (!engine || engine->incarnation != event.incarnation || event.sequence <= engine->lastSequence
        || !m_options.usesEvents) {
        return;
    }
    const auto index = m_current.at(upstream);
    if (event.sequence != engine->lastSequence + 1) {
        engine->trustedFrom = nextTimestamp();
    }
    engine->lastSequence = event.sequence;
    switch (event.kind) {
    case CacheEventKind::Stored:
        touch(event.hash, index);
        break;
    case CacheEventKind::Evicted:
        if (m_table.erase(event.hash, index)) {
            releaseEntry(index);
        }
        break;
    case CacheEventKind::Cleared:
        engine->trustedFrom = nextTimestamp();
        break;
    }
}

void PlacementIndex::setEventStreamActive(const UpstreamId& upstream, bool isActive)
{
    auto* engine = findIncarnation(upstream);
    if (!engine) {
        return;
    }
    if (isActive) {
        engine->interruptedAt = 0;
    } else if (engine->interruptedAt == 0) {
        engine->interruptedAt = nextTimestamp();
    }
}

void PlacementIndex::setIncarnation(const UpstreamId& upstream, Incarnation incarnation)
{
    const auto it = m_current.find(upstream);
    if (it != m_current.end()) {
        if (m_incarnations[it->second].incarnation == incarnation) {
            return;
        }
        retireIncarnation(it->second);
    } else if (m_current.size() >= m_options.maxEngines) {
        evictLeastRecentlyUsedEngine();
    }
    IncarnationIndex index = static_cast<IncarnationIndex>(m_incarnations.size());
    if (m_freeIncarnations.empty()) {
        m_incarnations.emplace_back();
    } else {
        index = m_freeIncarnations.back();
        m_freeIncarnations.pop_back();
    }
    m_incarnations[index] = EngineIncarnation {};
    m_incarnations[index].upstream = upstream;
    m_incarnations[index].incarnation = incarnation;
    m_incarnations[index].isCurrent = true;
    m_incarnations[index].usedAt = m_clock.now();
    m_current[upstream] = index;
}

void PlacementIndex::retireIncarnation(IncarnationIndex index)
{
    auto& engine = m_incarnations[index];
    engine.isCurrent = false;
    m_current.erase(engine.upstream);
    if (engine.entries == 0) {
        m_freeIncarnations.push_back(index);
    }
}

void PlacementIndex::evictLeastRecentlyUsedEngine()
{
    const auto it = std::min_element(m_current.begin(), m_current.end(), [&](const auto& a, const auto& b) {
        return m_incarnations[a.second].usedAt < m_incarnations[b.second].usedAt;
    });
    if (it != m_current.end()) {
        retireIncarnation(it->second);
    }
}

bool PlacementIndex::isTrusted(const CacheTable::Entry& entry) const
{
    const auto& engine = m_incarnations[entry.engine];
    return engine.isCurrent && entry.touchedAt >= engine.trustedFrom && entry.touchedAt >= engine.interruptedAt;
}

std::vector<CachedPrefixMatch> PlacementIndex::holders(const PrefixChain& chain) const
{
    struct Run {
        IncarnationIndex engine;
        std::uint32_t blocks;
        std::uint64_t oldest;
    };
    std::vector<Run> runs;
    for (std::uint32_t i = 0; i < chain.hashes.size(); ++i) {
        bool isAnyExtended = false;
        m_table.forEach(chain.hashes[i], [&](const CacheTable::Entry& entry) {
            if (!isTrusted(entry)) {
                return;
            }
            if (i == 0) {
                runs.push_back({ entry.engine, 1, entry.touchedAt });
                isAnyExtended = true;
                return;
            }
            const auto run
                = std::find_if(runs.begin(), runs.end(), [&](const Run& it) { return it.engine == entry.engine; });
            if (run != runs.end() && run->blocks == i) {
                run->blocks = i + 1;
                run->oldest = std::min(run->oldest, entry.touchedAt);
                isAnyExtended = true;
            }
        });
        if (!isAnyExtended) {
            break;
        }
    }
    std::vector<CachedPrefixMatch> found;
    found.reserve(runs.size());
    for (const auto& it : runs) {
        found.push_back(
            { m_incarnations[it.engine].upstream, m_incarnations[it.engine].incarnation, it.blocks, it.oldest });
    }
    return found;
}

std::uint64_t PlacementIndex::nextSequence(const UpstreamId& upstream) const
{
    const auto* engine = findIncarnation(upstream);
    return engine ? engine->lastSequence + 1 : 1;
}

SentWork PlacementIndex::sentWork(const UpstreamId& upstream, MonotonicTime since) const
{
    const auto* engine = findIncarnation(upstream);
    if (!engine) {
        return {};
    }
    SentWork work;
    for (auto it = engine->sent.rbegin(); it != engine->sent.rend() && it->at >= since; ++it) {
        work.tokens += it->tokens;
    }
    work.rate = currentRate(engine->sentRate);
    return work;
}

} // namespace Pollenwind
