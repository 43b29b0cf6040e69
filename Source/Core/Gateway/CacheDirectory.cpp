#include "Gateway/CacheDirectory.h"

#include "Gateway/Queries/RunnerQueries.h"

#include <xxhash.h>

#include <algorithm>

namespace Pollenwind {

namespace {

    // Runners evict the entries that were used the longest ago; with 8 s or 20 s more shared tokens were read again on
    // scale-1 of the drattur site (650k and 569k against 453k).
    constexpr std::chrono::seconds heldByRunner { 14 };

    // A store holds several times as much; it may also restart empty without a word, so an entry is saved again.
    constexpr std::chrono::seconds heldByStore { 30 };

    /// Marks the hashes of stores.
    constexpr std::uint64_t storeBit = 1;

    std::chrono::seconds heldTime(std::uint64_t holder)
    {
        return (holder & storeBit) != 0 ? heldByStore : heldByRunner;
    }

    // One report carries at most so many; the rest is left out, which costs a missed transfer at worst.
    constexpr std::size_t maxNews = 256;

} // namespace

std::uint64_t holderHash(const UpstreamId& runner, Incarnation boot)
{
    const auto hash = runnerHash(runner);
    return XXH3_64bits_withSeed(&hash, sizeof hash, boot.value()) & ~storeBit;
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

void CacheDirectory::note(const HeldPrefix& prefix)
{
    auto& holders = m_holders[prefix.prefix];
    const auto it = std::ranges::find(holders, prefix.holder, [](const auto& h) { return h.first; });
    if (it != holders.end()) {
        it->second = m_clock.now();
    } else {
        holders.emplace_back(prefix.holder, m_clock.now());
    }
}

void CacheDirectory::noteRead(std::span<const HeldPrefix> prefixes)
{
    for (const auto& prefix : prefixes) {
        note(prefix);
        if (m_news.size() < maxNews && std::ranges::find(m_news, prefix) == m_news.end()) {
            m_news.push_back(prefix);
        }
    }
}

void CacheDirectory::noteRemoteRead(std::span<const HeldPrefix> prefixes)
{
    std::ranges::for_each(prefixes, [this](const HeldPrefix& prefix) { note(prefix); });
}

bool CacheDirectory::isHeld(std::uint64_t prefix, std::uint64_t holder) const
{
    const auto it = m_holders.find(prefix);
    if (it == m_holders.end()) {
        return false;
    }
    const auto oldest = m_clock.now() - heldTime(holder);
    return std::ranges::any_of(
        it->second, [&](const auto& known) { return known.first == holder && known.second > oldest; });
}

std::vector<HeldPrefix> CacheDirectory::takeNews() { return std::exchange(m_news, {}); }

void CacheDirectory::forgetOld()
{
    const auto now = m_clock.now();
    for (auto& [prefix, holders] : m_holders) {
        std::erase_if(holders, [now](const auto& known) { return known.second <= now - heldTime(known.first); });
    }
    std::erase_if(m_holders, [](const auto& it) { return it.second.empty(); });
}

} // namespace Pollenwind
