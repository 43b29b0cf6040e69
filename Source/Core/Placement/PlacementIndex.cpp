#include "Placement/PlacementIndex.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

namespace {

    // Load reports arrive each second; older work is contained in the last report.
    constexpr std::chrono::seconds sentWorkKept { 3 };

    // Time constant of the average rate. Long against the gaps between requests, short against shifts of hot prefixes.
    constexpr double rateSeconds = 5;

    // Tokens a second below which a prefix needs no count of its own: about one request in 20 minutes.
    constexpr double negligibleRate = 2;

    // Old blocks are dropped a few at a time, so that no single call takes long.
    constexpr int dropsPerCall = 64;

    double toSeconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

PlacementIndex::PlacementIndex(const Clock& clock, PlacementIndexOptions options)
    : m_clock(clock)
    , m_options(options)
    , m_table(options.maxBlocks)
{
}

std::uint64_t PlacementIndex::stamp()
{
    m_lastStamp = std::max(m_lastStamp + 1, static_cast<std::uint64_t>(m_clock.now().count()));
    return m_lastStamp;
}

const PlacementIndex::Life* PlacementIndex::findLife(const UpstreamId& upstream) const
{
    const auto it = m_current.find(upstream);
    return it == m_current.end() ? nullptr : &m_lives[it->second];
}

PlacementIndex::Life* PlacementIndex::findLife(const UpstreamId& upstream)
{
    return const_cast<Life*>(std::as_const(*this).findLife(upstream));
}

PlacementIndex::Life* PlacementIndex::findLife(const PlacementChoice& choice)
{
    auto* life = findLife(choice.upstream);
    return life && life->incarnation == choice.incarnation ? life : nullptr;
}

void PlacementIndex::touch(ChainHash hash, LifeNumber life)
{
    const auto before = m_table.size();
    const auto evicted = m_table.touch(hash, life, stamp());
    if (evicted != CacheTable::none || m_table.size() > before) {
        ++m_lives[life].entries;
    }
    if (evicted != CacheTable::none) {
        forgetEntry(evicted);
    }
}

void PlacementIndex::forgetEntry(LifeNumber life)
{
    auto& entry = m_lives[life];
    --entry.entries;
    if (!entry.isCurrent && entry.entries == 0) {
        m_freeLives.push_back(life);
    }
}

void PlacementIndex::dropOldBlocks()
{
    const auto age = static_cast<std::uint64_t>(m_options.maxAge.count());
    for (int i = 0; i < dropsPerCall; ++i) {
        const auto* oldest = m_table.oldest();
        const bool isOld = oldest && (!m_lives[oldest->life].isCurrent || oldest->touched + age < m_lastStamp);
        if (!isOld) {
            return;
        }
        const auto life = oldest->life;
        m_table.erase(oldest->hash, life);
        forgetEntry(life);
    }
}

void PlacementIndex::noteSent(Life& life, double tokens)
{
    const auto now = m_clock.now();
    life.usedAt = now;
    life.sent.push_back({ now, tokens });
    while (now - life.sent.front().at > sentWorkKept) {
        life.sent.pop_front();
    }
    add(life.sentRate, tokens);
}

double PlacementIndex::valueOf(const Rate& rate) const
{
    return rate.value * std::exp(-toSeconds(m_clock.now() - rate.at) / rateSeconds);
}

void PlacementIndex::add(Rate& rate, double tokens) const
{
    rate.value = valueOf(rate) + tokens / rateSeconds;
    rate.at = m_clock.now();
}

void PlacementIndex::noteDemand(const PrefixChain& chain)
{
    if (chain.hashes.empty()) {
        return;
    }
    if (m_demand.size() >= m_options.maxPrefixes) {
        std::erase_if(m_demand, [&](const auto& it) { return valueOf(it.second) < negligibleRate; });
    }
    if (m_demand.size() < m_options.maxPrefixes || m_demand.contains(chain.hashes.front())) {
        // The text after the last whole piece, and on average one more piece that is not shared.
        const auto whole = static_cast<double>(chain.hashes.size()) * chain.pieceTokens;
        add(m_demand[chain.hashes.front()], chain.promptTokens - whole + chain.pieceTokens);
    }
}

double PlacementIndex::prefixDemand(ChainHash prefix) const
{
    const auto it = m_demand.find(prefix);
    return it == m_demand.end() ? 0 : valueOf(it->second);
}

void PlacementIndex::notePlaced(const PlacementChoice& choice, const PrefixChain& chain)
{
    auto* life = findLife(choice);
    if (!life) {
        return;
    }
    noteSent(*life, std::max(0.0, static_cast<double>(chain.promptTokens) - choice.expectedCachedTokens));
    noteDemand(chain);
    if (m_options.usesPlacements) {
        const auto number = m_current.at(choice.upstream);
        // From the end, so that the first pieces, which later requests share, are the last to age.
        for (auto it = chain.hashes.rbegin(); it != chain.hashes.rend(); ++it) {
            touch(*it, number);
        }
    }
    dropOldBlocks();
}

void PlacementIndex::noteCached(const PlacementChoice& choice, const PrefixChain& chain, std::uint32_t cachedTokens)
{
    auto* life = findLife(choice);
    if (!life || !m_options.usesAnswers || chain.pieceTokens == 0) {
        return;
    }
    const auto number = m_current.at(choice.upstream);
    const auto cached = std::min<std::size_t>(cachedTokens / chain.pieceTokens, chain.hashes.size());
    // Only known blocks are confirmed: one that is gone again was evicted after the engine counted it.
    for (std::size_t i = cached; i-- > 0;) {
        if (m_table.find(chain.hashes[i], number)) {
            touch(chain.hashes[i], number);
        }
    }
    if (cachedTokens + chain.pieceTokens <= choice.expectedCachedTokens && choice.oldestTouched > 0) {
        // Engines evict what was used the longest ago, so whatever is older than the missing block is gone too.
        life->trustedFrom = std::max(life->trustedFrom, choice.oldestTouched);
    }
}

void PlacementIndex::noteEvent(const UpstreamId& upstream, const CacheEvent& event)
{
    auto* life = findLife(upstream);
    if (!life || life->incarnation != event.incarnation || event.sequence <= life->lastSequence
        || !m_options.usesEvents) {
        return;
    }
    const auto number = m_current.at(upstream);
    if (event.sequence != life->lastSequence + 1) {
        life->trustedFrom = stamp();
    }
    life->lastSequence = event.sequence;
    switch (event.kind) {
    case CacheEventKind::Stored:
        touch(event.hash, number);
        break;
    case CacheEventKind::Evicted:
        if (m_table.erase(event.hash, number)) {
            forgetEntry(number);
        }
        break;
    case CacheEventKind::Cleared:
        life->trustedFrom = stamp();
        break;
    }
}

void PlacementIndex::noteEventStream(const UpstreamId& upstream, bool isFollowed)
{
    auto* life = findLife(upstream);
    if (!life) {
        return;
    }
    if (isFollowed) {
        life->interruptedAt = 0;
    } else if (life->interruptedAt == 0) {
        life->interruptedAt = stamp();
    }
}

void PlacementIndex::noteIncarnation(const UpstreamId& upstream, Incarnation incarnation)
{
    const auto it = m_current.find(upstream);
    if (it != m_current.end()) {
        if (m_lives[it->second].incarnation == incarnation) {
            return;
        }
        endLife(it->second);
    } else if (m_current.size() >= m_options.maxEngines) {
        dropUnusedEngine();
    }
    LifeNumber number = static_cast<LifeNumber>(m_lives.size());
    if (m_freeLives.empty()) {
        m_lives.emplace_back();
    } else {
        number = m_freeLives.back();
        m_freeLives.pop_back();
    }
    m_lives[number] = Life {};
    m_lives[number].upstream = upstream;
    m_lives[number].incarnation = incarnation;
    m_lives[number].isCurrent = true;
    m_lives[number].usedAt = m_clock.now();
    m_current[upstream] = number;
}

void PlacementIndex::endLife(LifeNumber number)
{
    auto& life = m_lives[number];
    life.isCurrent = false;
    m_current.erase(life.upstream);
    if (life.entries == 0) {
        m_freeLives.push_back(number);
    }
}

void PlacementIndex::dropUnusedEngine()
{
    const auto it = std::min_element(m_current.begin(), m_current.end(),
        [&](const auto& a, const auto& b) { return m_lives[a.second].usedAt < m_lives[b.second].usedAt; });
    if (it != m_current.end()) {
        endLife(it->second);
    }
}

bool PlacementIndex::isTrusted(const CacheTable::Entry& entry) const
{
    const auto& life = m_lives[entry.life];
    return life.isCurrent && entry.touched >= life.trustedFrom && entry.touched >= life.interruptedAt;
}

std::vector<CacheHolding> PlacementIndex::holders(const PrefixChain& chain) const
{
    struct Run {
        LifeNumber life;
        std::uint32_t pieces;
        std::uint64_t oldest;
    };
    std::vector<Run> runs;
    for (std::uint32_t i = 0; i < chain.hashes.size(); ++i) {
        bool isAnyLonger = false;
        m_table.forEach(chain.hashes[i], [&](const CacheTable::Entry& entry) {
            if (!isTrusted(entry)) {
                return;
            }
            if (i == 0) {
                runs.push_back({ entry.life, 1, entry.touched });
                isAnyLonger = true;
                return;
            }
            const auto run
                = std::find_if(runs.begin(), runs.end(), [&](const Run& it) { return it.life == entry.life; });
            if (run != runs.end() && run->pieces == i) {
                run->pieces = i + 1;
                run->oldest = std::min(run->oldest, entry.touched);
                isAnyLonger = true;
            }
        });
        if (!isAnyLonger) {
            break;
        }
    }
    std::vector<CacheHolding> found;
    found.reserve(runs.size());
    for (const auto& it : runs) {
        found.push_back({ m_lives[it.life].upstream, m_lives[it.life].incarnation, it.pieces, it.oldest });
    }
    return found;
}

std::uint64_t PlacementIndex::nextSequence(const UpstreamId& upstream) const
{
    const auto* life = findLife(upstream);
    return life ? life->lastSequence + 1 : 1;
}

SentWork PlacementIndex::sentWork(const UpstreamId& upstream, MonotonicTime since) const
{
    const auto* life = findLife(upstream);
    if (!life) {
        return {};
    }
    SentWork work;
    for (auto it = life->sent.rbegin(); it != life->sent.rend() && it->at >= since; ++it) {
        work.tokens += it->tokens;
    }
    work.rate = valueOf(life->sentRate);
    return work;
}

} // namespace Pollenwind
