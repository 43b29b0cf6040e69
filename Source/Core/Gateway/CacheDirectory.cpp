#include "Gateway/CacheDirectory.h"

#include "Gateway/Queries/RunnerQueries.h"

#include <xxhash.h>

#include <algorithm>

namespace Pollenwind {

namespace {

    // Runners evict the least recently used entries. With a retention of 8 s or 20 s, runners computed more shared
    // tokens again (650,000 and 569,000 against 453,000).
    constexpr std::chrono::seconds runnerRetention { 14 };

    // A store has several times the capacity of a runner. It may also restart empty without a notice, so entries expire
    // here and are saved again.
    constexpr std::chrono::seconds storeRetention { 30 };

    /// Set in the hashes of stores and cleared in the hashes of runners.
    constexpr std::uint64_t storeBit = 1;

    std::chrono::seconds retentionOf(std::uint64_t holder)
    {
        return (holder & storeBit) != 0 ? storeRetention : runnerRetention;
    }

    // Most prefixes in one report. Further ones are dropped, which costs a missed cache transfer at worst.
    constexpr std::size_t maxReportedPrefixes = 256;

} // namespace

std::uint64_t holderHash(const UpstreamId& runner, Incarnation incarnation)
{
    const auto hash = runnerHash(runner);
    return XXH3_64bits_withSeed(&hash, sizeof hash, incarnation.value()) & ~storeBit;
}

std::uint64_t storeHash(const Endpoint& endpoint)
{
    const auto text = endpoint.toString();
    return XXH3_64bits(text.data(), text.size()) | storeBit;
}

std::vector<SharedPrefix> sharedPrefixes(
    const ForwardRequest& request, const std::string& cacheSalt, WeightsVersion weights)
{
    std::vector<SharedPrefix> prefixes;
    auto hash = XXH3_64bits_withSeed(cacheSalt.data(), cacheSalt.size(), static_cast<std::uint64_t>(weights));
    hash = XXH3_64bits_withSeed(request.model.data(), request.model.size(), hash);
    double tokens = 0;
    for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
        const auto& part = request.parts[i];
        hash = XXH3_64bits_withSeed(&part.id, sizeof part.id, hash);
        tokens += part.tokens;
        prefixes.push_back({ hash, tokens });
    }
    return prefixes;
}

bool CacheDirectory::record(const CachedPrefix& prefix)
{
    const auto now = m_clock.now();
    auto& entry = m_entries[prefix.prefix];
    entry.ownTokens = std::max(entry.ownTokens, prefix.ownTokens);
    auto& holders = entry.holders;
    auto it = std::ranges::find(holders, prefix.holder, &Holder::hash);
    if (it == holders.end()) {
        it = holders.insert(holders.end(), Holder { prefix.holder });
    }
    it->readAt = now;
    const bool isNewOrExpiring = it->reportedAt.count() == 0 || now - it->reportedAt > retentionOf(prefix.holder) / 2;
    it->reportedAt = isNewOrExpiring ? now : it->reportedAt;
    return isNewOrExpiring;
}

void CacheDirectory::addUpdate(std::vector<CachedPrefix>& updates, const CachedPrefix& prefix)
{
    if (updates.size() < maxReportedPrefixes) {
        updates.push_back(prefix);
    }
}

void CacheDirectory::recordRead(std::span<const CachedPrefix> prefixes)
{
    for (const auto& prefix : prefixes) {
        if (record(prefix)) {
            addUpdate(m_updates, prefix);
            addUpdate(m_zoneUpdates, prefix);
        }
    }
}

void CacheDirectory::recordRemoteRead(std::span<const CachedPrefix> prefixes, bool isOwnZone)
{
    for (const auto& prefix : prefixes) {
        if (record(prefix) && isOwnZone) {
            addUpdate(m_zoneUpdates, prefix);
        }
    }
}

bool CacheDirectory::isCached(std::uint64_t prefix, std::uint64_t holder) const
{
    const auto holders = holdersOf(prefix);
    return std::ranges::find(holders, holder) != holders.end();
}

std::vector<std::uint64_t> CacheDirectory::holdersOf(std::uint64_t prefix) const
{
    std::vector<std::uint64_t> hashes;
    if (const auto it = m_entries.find(prefix); it != m_entries.end()) {
        for (const auto& holder : it->second.holders) {
            if (holder.readAt > m_clock.now() - retentionOf(holder.hash)) {
                hashes.push_back(holder.hash);
            }
        }
    }
    return hashes;
}

std::vector<CachedPrefix> CacheDirectory::takeUpdates() { return std::exchange(m_updates, {}); }

std::vector<CachedPrefix> CacheDirectory::takeZoneUpdates() { return std::exchange(m_zoneUpdates, {}); }

void CacheDirectory::removeExpired()
{
    const auto now = m_clock.now();
    double knownTokens = 0;
    double known = 0;
    for (auto& [prefix, entry] : m_entries) {
        std::erase_if(entry.holders, [now](const Holder& it) { return it.readAt <= now - retentionOf(it.hash); });
        if (!entry.holders.empty() && entry.ownTokens > 0) {
            knownTokens += entry.ownTokens;
            known += 1;
        }
    }
    std::erase_if(m_entries, [](const auto& it) { return it.second.holders.empty(); });
    const double unknown = static_cast<double>(m_entries.size()) - known;
    m_tokensInUse = known > 0 ? knownTokens * (1 + unknown / known) : 0;
}

} // namespace Pollenwind
