#include "Bench/EngineModel.h"

namespace Pollenwind::Bench {

std::uint32_t CacheModel::countCachedBlocks(const PrefixChain& chain) const
{
    std::uint32_t n = 0;
    while (n < chain.hashes.size() && m_blocks.contains(chain.hashes[n])) {
        ++n;
    }
    return n;
}

void CacheModel::use(const PrefixChain& chain, double now)
{
    // In reverse order, so that the first blocks of the chain are evicted last.
    for (auto hash = chain.hashes.rbegin(); hash != chain.hashes.rend(); ++hash) {
        const auto it = m_blocks.find(*hash);
        if (it != m_blocks.end()) {
            m_leastRecentlyUsed.splice(m_leastRecentlyUsed.begin(), m_leastRecentlyUsed, it->second);
            continue;
        }
        m_leastRecentlyUsed.push_front(*hash);
        m_blocks.emplace(*hash, m_leastRecentlyUsed.begin());
        emit(CacheEventKind::Stored, *hash, now);
    }
    while (m_blocks.size() > m_capacity) {
        const auto oldest = m_leastRecentlyUsed.back();
        m_leastRecentlyUsed.pop_back();
        m_blocks.erase(oldest);
        emit(CacheEventKind::Evicted, oldest, now);
    }
}

void CacheModel::emit(CacheEventKind kind, ChainHash hash, double now)
{
    m_events.push_back({ now, { m_events.size() + 1, Incarnation(1), kind, hash } });
}

} // namespace Pollenwind::Bench
