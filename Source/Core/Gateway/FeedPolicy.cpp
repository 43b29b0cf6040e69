#include "Gateway/FeedPolicy.h"

#include <xxhash.h>

#include <algorithm>

namespace Pollenwind {

namespace {

    // A small zone has one watcher; while it is replaced the few others turn to the store.
    constexpr std::size_t maxWatchersPerZone = 2;
    constexpr std::size_t vmsPerWatcher = 8;

    // Time until a watcher that failed is asked again.
    constexpr std::chrono::milliseconds failureTime { 2000 };

    // Age of the knowledge from which a follower turns to the store, in percent of the time until a change must take
    // effect; followers of watchers in contact with the store are at most 1.3 s behind. The VMs turn to it one after
    // the other within the spread, and the rest of the time is for the call.
    constexpr int maxAgePercent = 45;
    constexpr std::uint64_t maxAgeSpreadMs = 400;

    // With 30 followers one read of all records begins every 13 ms. The delay adds to the age of the knowledge.
    constexpr std::uint64_t readSpreadMs = 400;

} // namespace

FeedPolicy::FeedPolicy(const Clock& clock, const FleetView& fleet, VmId ownVm, std::chrono::milliseconds maxChangeDelay)
    : m_clock(clock)
    , m_fleet(fleet)
    , m_ownVm(std::move(ownVm))
    , m_ownHash(XXH3_64bits(m_ownVm.value().data(), m_ownVm.value().size()))
    , m_maxAge(maxChangeDelay * maxAgePercent / 100 + std::chrono::milliseconds(m_ownHash % maxAgeSpreadMs))
{
}

std::optional<FeedPeer> FeedPolicy::choose(std::chrono::nanoseconds age, bool isOrderHolder) const
{
    if (!m_fleet.isLarge() || isOrderHolder || age > m_maxAge) {
        return std::nullopt;
    }
    auto vms = m_fleet.reachableOfOwnZone();
    std::ranges::sort(vms);
    vms.resize(std::clamp<std::size_t>(vms.size() / vmsPerWatcher, 1, maxWatchersPerZone));
    if (std::ranges::find(vms, m_ownVm) != vms.end()) {
        return std::nullopt;
    }
    const auto now = m_clock.now();
    std::erase_if(vms, [&](const VmId& vm) {
        const auto it = m_failedAt.find(vm);
        return (it != m_failedAt.end() && now - it->second < failureTime) || !m_fleet.endpointOf(vm);
    });
    if (vms.empty()) {
        return std::nullopt;
    }
    const auto& watcher = vms[m_ownHash % vms.size()];
    return FeedPeer { watcher, *m_fleet.endpointOf(watcher) };
}

std::chrono::milliseconds FeedPolicy::readDelay() const { return std::chrono::milliseconds(m_ownHash % readSpreadMs); }

void FeedPolicy::recordFailure(const VmId& watcher)
{
    const auto now = m_clock.now();
    std::erase_if(m_failedAt, [now](const auto& it) { return now - it.second >= failureTime; });
    m_failedAt[watcher] = now;
}

} // namespace Pollenwind
