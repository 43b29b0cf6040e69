#pragma once

#include "Placement/PrefixChain.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace Pollenwind {

/// Index of the record of one incarnation of one engine in a PlacementIndex.
using IncarnationIndex = std::uint32_t;

/// Bounded hash table from chain hashes to the engine incarnations that have the block cached, with LRU eviction.
class CacheTable {
public:
    struct Entry {
        ChainHash hash = 0;
        /// Timestamp of the last touch in nanoseconds; strictly increasing over all touches.
        std::uint64_t touchedAt = 0;
        IncarnationIndex engine = 0;
        std::uint32_t nextInBucket = none;
        std::uint32_t older = none;
        std::uint32_t newer = none;
    };

    static constexpr std::uint32_t none = 0xffffffff;

    /// @param capacity Maximum number of entries.
    explicit CacheTable(std::size_t capacity);

    /// Inserts an entry or marks an existing one as touched.
    /// @return The engine whose entry was evicted because the table was full, or `none`.
    IncarnationIndex touch(ChainHash hash, IncarnationIndex engine, std::uint64_t now);

    /// @return True if there was such an entry.
    bool erase(ChainHash hash, IncarnationIndex engine);

    /// @return The entry, or null.
    const Entry* find(ChainHash hash, IncarnationIndex engine) const;

    /// Calls a function for each entry of a hash.
    template <typename Function> void forEach(ChainHash hash, Function function) const
    {
        for (auto i = m_buckets[bucketOf(hash)]; i != none; i = m_entries[i].nextInBucket) {
            if (m_entries[i].hash == hash) {
                function(m_entries[i]);
            }
        }
    }

    /// @return The least recently touched entry, or null if the table is empty.
    const Entry* oldest() const { return m_oldest == none ? nullptr : &m_entries[m_oldest]; }

    std::size_t size() const { return m_size; }
    /// Memory in use, in bytes.
    std::size_t memoryBytes() const;

private:
    std::size_t bucketOf(ChainHash hash) const { return hash & (m_buckets.size() - 1); }
    std::uint32_t indexOf(ChainHash hash, IncarnationIndex engine) const;
    void unlink(std::uint32_t index);
    void linkAsNewest(std::uint32_t index);
    void growBuckets();

    std::size_t m_capacity;
    std::size_t m_size = 0;
    std::vector<Entry> m_entries;
    std::vector<std::uint32_t> m_buckets;
    std::uint32_t m_free = none;
    std::uint32_t m_oldest = none;
    std::uint32_t m_newest = none;
};

} // namespace Pollenwind
