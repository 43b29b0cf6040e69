#include "Placement/CacheTable.h"

namespace Pollenwind {

namespace {

    constexpr std::size_t initialBuckets = 1024;

} // namespace

CacheTable::CacheTable(std::size_t capacity)
    : m_capacity(capacity)
    , m_buckets(initialBuckets, none)
{
}

std::uint32_t CacheTable::indexOf(ChainHash hash, IncarnationIndex engine) const
{
    auto i = m_buckets[bucketOf(hash)];
    while (i != none && (m_entries[i].hash != hash || m_entries[i].engine != engine)) {
        i = m_entries[i].nextInBucket;
    }
    return i;
}

const CacheTable::Entry* CacheTable::find(ChainHash hash, IncarnationIndex engine) const
{
    const auto i = indexOf(hash, engine);
    return i == none ? nullptr : &m_entries[i];
}

IncarnationIndex CacheTable::touch(ChainHash hash, IncarnationIndex engine, std::uint64_t now)
{
    auto i = indexOf(hash, engine);
    IncarnationIndex evicted = none;
    if (i != none) {
        unlink(i);
    } else {
        if (m_size >= m_capacity) {
            const auto& last = m_entries[m_oldest];
            evicted = last.engine;
            erase(last.hash, last.engine);
        }
        if (m_size >= m_buckets.size()) {
            growBuckets();
        }
        if (m_free != none) {
            i = m_free;
            m_free = m_entries[i].nextInBucket;
        } else {
            i = static_cast<std::uint32_t>(m_entries.size());
            m_entries.emplace_back();
        }
        auto& bucket = m_buckets[bucketOf(hash)];
        m_entries[i].hash = hash;
        m_entries[i].engine = engine;
        m_entries[i].nextInBucket = bucket;
        bucket = i;
        ++m_size;
    }
    m_entries[i].touchedAt = now;
    linkAsNewest(i);
    return evicted;
}

bool CacheTable::erase(ChainHash hash, IncarnationIndex engine)
{
    auto* link = &m_buckets[bucketOf(hash)];
    while (*link != none && (m_entries[*link].hash != hash || m_entries[*link].engine != engine)) {
        link = &m_entries[*link].nextInBucket;
    }
    const auto i = *link;
    if (i == none) {
        return false;
    }
    *link = m_entries[i].nextInBucket;
    unlink(i);
    m_entries[i].nextInBucket = m_free;
    m_free = i;
    --m_size;
    return true;
}

void CacheTable::unlink(std::uint32_t index)
{
    auto& entry = m_entries[index];
    (entry.older == none ? m_oldest : m_entries[entry.older].newer) = entry.newer;
    (entry.newer == none ? m_newest : m_entries[entry.newer].older) = entry.older;
    entry.older = none;
    entry.newer = none;
}

void CacheTable::linkAsNewest(std::uint32_t index)
{
    m_entries[index].older = m_newest;
    (m_newest == none ? m_oldest : m_entries[m_newest].newer) = index;
    m_newest = index;
}

void CacheTable::growBuckets()
{
    m_buckets.assign(m_buckets.size() * 2, none);
    for (auto i = m_oldest; i != none; i = m_entries[i].newer) {
        auto& bucket = m_buckets[bucketOf(m_entries[i].hash)];
        m_entries[i].nextInBucket = bucket;
        bucket = i;
    }
}

std::size_t CacheTable::memoryBytes() const
{
    return m_entries.capacity() * sizeof(Entry) + m_buckets.capacity() * sizeof(std::uint32_t);
}

} // namespace Pollenwind
