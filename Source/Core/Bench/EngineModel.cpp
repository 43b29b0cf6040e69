#include "Bench/EngineModel.h"

namespace Pollenwind::Bench {

std::uint32_t CacheModel::heldPieces(const PrefixChain& chain) const
{
    std::uint32_t n = 0;
    while (n < chain.hashes.size() && m_pieces.contains(chain.hashes[n])) {
        ++n;
    }
    return n;
}

void CacheModel::use(const PrefixChain& chain, double now)
{
    // From the end, so that the first pieces are the last to be evicted.
    for (auto hash = chain.hashes.rbegin(); hash != chain.hashes.rend(); ++hash) {
        const auto it = m_pieces.find(*hash);
        if (it != m_pieces.end()) {
            m_recency.splice(m_recency.begin(), m_recency, it->second);
            continue;
        }
        m_recency.push_front(*hash);
        m_pieces.emplace(*hash, m_recency.begin());
        emit(CacheEventKind::Stored, *hash, now);
    }
    while (m_pieces.size() > m_capacity) {
        const auto oldest = m_recency.back();
        m_recency.pop_back();
        m_pieces.erase(oldest);
        emit(CacheEventKind::Evicted, oldest, now);
    }
}

void CacheModel::emit(CacheEventKind kind, ChainHash hash, double now)
{
    m_events.push_back({ now, { m_events.size() + 1, Incarnation(1), kind, hash } });
}

} // namespace Pollenwind::Bench
