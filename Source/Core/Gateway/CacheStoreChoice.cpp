#include "Gateway/CacheStoreChoice.h"

#include "Gateway/Queries/PrefixQueries.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Pollenwind {

bool CacheStoreChoice::update(double sharedTokens, std::span<const CacheStore> stores)
{
    if (m_placement != CacheStorePlacement::Auto) {
        return false;
    }
    const auto smallest = std::ranges::min_element(stores, {}, &CacheStore::capacityTokens);
    const double capacity = smallest == stores.end() ? 0 : static_cast<double>(smallest->capacityTokens);
    const bool isByPrefix = capacity > 0 && sharedTokens > capacity * (m_isByPrefix ? roomyShare : fullShare);
    return std::exchange(m_isByPrefix, isByPrefix) != isByPrefix;
}

const CacheStore& CacheStoreChoice::choose(
    std::span<const CacheStore> stores, const ZoneId& zone, std::uint64_t lastPart) const
{
    if (!m_isByPrefix) {
        const auto nearest = std::ranges::find(stores, zone, &CacheStore::zone);
        return nearest == stores.end() ? stores.front() : *nearest;
    }
    return *std::ranges::max_element(stores, {}, [lastPart](const CacheStore& store) {
        const auto hash = storeHash(store.endpoint);
        return XXH3_64bits_withSeed(&hash, sizeof hash, lastPart);
    });
}

} // namespace Pollenwind
