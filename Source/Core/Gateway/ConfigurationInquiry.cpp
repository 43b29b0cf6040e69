#include "Gateway/ConfigurationInquiry.h"

#include "Common/Sleep.h"
#include "Common/TaskFault.h"
#include "Common/WaitList.h"
#include "Gateway/PeerFeed.h"
#include "Timeline/Log.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace Pollenwind {

namespace {

    // VMs of this zone, and of all others, that must have answered in a large fleet. If a fifth of the VMs start at the
    // same time, all eight are among them in one of 400,000 starts.
    constexpr std::size_t wantedPerSide = 4;

    // A VM at a new address is known to the others soon after its registration: in a large fleet, after the batch
    // delays of a watcher and its follower, and the others may be reading the restored store, too.
    constexpr std::chrono::milliseconds registrationTime { 4000 };
    constexpr std::chrono::milliseconds unknownVmPause { 100 };

    // Longer than all time limits of a call together.
    constexpr std::chrono::seconds maxRoundTime { 5 };

} // namespace

/// Concurrent calls to several VMs.
struct ConfigurationInquiry::Round {
    std::uint64_t inquiry = 0;
    std::vector<StoreEntry> newer;
    std::size_t running = 0;
    /// Whether a VM with a newer configuration did not know this one.
    bool isUnknown = false;
    WaitList ended;
};

ConfigurationInquiry::ConfigurationInquiry(const Clock& clock, const FleetView& fleet, std::string ownAddress)
    : m_clock(clock)
    , m_fleet(fleet)
    , m_ownAddress(std::move(ownAddress))
{
}

void ConfigurationInquiry::reset()
{
    ++m_inquiries;
    m_answered.clear();
}

Task<std::vector<StoreEntry>> ConfigurationInquiry::readNewer(std::int64_t version)
{
    reset();
    const auto startedAt = m_clock.now();
    for (;;) {
        const auto round = co_await ask(version);
        if (!round->newer.empty() || !round->isUnknown || m_clock.now() - startedAt >= registrationTime) {
            co_return round->newer;
        }
        co_await sleepFor(unknownVmPause);
    }
}

Task<std::vector<StoreEntry>> ConfigurationInquiry::readNewerOnce(std::int64_t version)
{
    reset();
    const auto round = co_await ask(version);
    co_return round->newer;
}

Task<std::vector<StoreEntry>> ConfigurationInquiry::readNewerFromOthers(std::int64_t version)
{
    const auto round = co_await ask(version);
    co_return round->newer;
}

Task<std::shared_ptr<const ConfigurationInquiry::Round>> ConfigurationInquiry::ask(std::int64_t version)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto round = std::make_shared<Round>();
    round->inquiry = m_inquiries;
    const auto vms = selectVms();
    round->running = vms.size();
    for (const auto& endpoint : vms) {
        spawnTask(executor, TaskKind::PeerCall, askVm(endpoint, version, round));
    }
    if (round->running > 0) {
        co_await round->ended.waitFor(maxRoundTime);
    }
    co_return round;
}

Task<> ConfigurationInquiry::askVm(Endpoint endpoint, std::int64_t version, std::shared_ptr<Round> round)
{
    PeerFeed feed(co_await asio::this_coro::executor, endpoint, m_ownAddress);
    auto records = co_await feed.readConfiguration(version);
    if (records) {
        if (round->inquiry == m_inquiries) {
            m_answered.insert(endpoint);
        }
        if (!records->range.entries.empty()) {
            logStateChange("newer-configuration-found", { { "vm", endpoint.toString() } });
            std::ranges::move(records->range.entries, std::back_inserter(round->newer));
        }
    }
    round->isUnknown = round->isUnknown || (!records && records.error().code == ErrorCode::Forbidden);
    if (--round->running == 0) {
        round->ended.notifyAll();
    }
}

std::vector<Endpoint> ConfigurationInquiry::othersOfOtherZones() const
{
    auto others = m_fleet.others();
    const auto ownZone = m_fleet.othersOfOwnZone();
    std::erase_if(others, [&ownZone](const Endpoint& it) { return std::ranges::find(ownZone, it) != ownZone.end(); });
    return others;
}

bool ConfigurationInquiry::hasAnswered() const
{
    return hasAnswered(m_fleet.othersOfOwnZone()) && hasAnswered(othersOfOtherZones());
}

bool ConfigurationInquiry::hasAnswered(const std::vector<Endpoint>& vms) const
{
    const auto wanted = m_fleet.isLarge() ? std::min(vms.size(), wantedPerSide) : vms.size();
    const auto answered = std::ranges::count_if(vms, [this](const Endpoint& it) { return m_answered.contains(it); });
    return 2 * static_cast<std::size_t>(answered) >= wanted;
}

std::vector<Endpoint> ConfigurationInquiry::selectVms()
{
    if (!m_fleet.isLarge()) {
        auto vms = m_fleet.others();
        std::erase_if(vms, [this](const Endpoint& it) { return m_answered.contains(it); });
        return vms;
    }
    ++m_rounds;
    auto vms = m_fleet.othersOfOwnZone();
    auto others = othersOfOtherZones();
    reduce(vms);
    reduce(others);
    std::ranges::move(others, std::back_inserter(vms));
    return vms;
}

void ConfigurationInquiry::reduce(std::vector<Endpoint>& vms) const
{
    const auto answered = std::erase_if(vms, [this](const Endpoint& it) { return m_answered.contains(it); });
    // Rendezvous hashing, so that VMs which start at the same time ask different ones.
    const auto rank = [this](const Endpoint& it) {
        const auto text = m_ownAddress + "/" + it.toString();
        return XXH3_64bits_withSeed(text.data(), text.size(), m_rounds);
    };
    std::ranges::sort(vms, std::ranges::greater {}, rank);
    vms.resize(std::min(vms.size(), wantedPerSide - std::min(wantedPerSide, answered)));
}

} // namespace Pollenwind
