#include "Router/ShareManager.h"

#include "Common/Digest.h"
#include "Common/Sleep.h"
#include "Router/StoreKeys.h"
#include "Router/StoreRecords.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    /// At 380 VMs a read of the record and of the list every 10 s costs 76 calls a second.
    constexpr std::chrono::milliseconds steadyInterval { 10'000 };
    /// Used while the record changes. A router has a budget of 1.5 store calls a second in all.
    constexpr std::chrono::milliseconds changingInterval { 9000 };
    /// Used while this VM has no slot or has a release to write; doubled up to steadyInterval.
    constexpr std::chrono::milliseconds seekingInterval { 1000 };
    /// Interval of checks for the first service document; they make no calls.
    constexpr std::chrono::milliseconds documentPollInterval { 100 };
    constexpr int releaseAttempts = 3;

    std::chrono::milliseconds jittered(std::chrono::milliseconds interval)
    {
        return interval / 2 + std::chrono::milliseconds(randomBits() % static_cast<std::uint64_t>(interval.count()));
    }

    std::string describe(const ShareSlotId& slot)
    {
        return slot.zone.value() + "/" + std::to_string(slot.group) + "/" + std::to_string(slot.index);
    }

} // namespace

ShareManager::ShareManager(ShareManagerContext context, ShareCandidate self)
    : m_context(context)
    , m_self(std::move(self))
{
}

Task<> ShareManager::run()
{
    auto seeking = seekingInterval / 2;
    while (!m_isStopping) {
        if (m_context.configuration.current()->document.zones.empty()) {
            // Without a document there is nothing to claim; the first slots should be claimed soon after it arrives.
            co_await sleepFor(jittered(documentPollInterval));
            continue;
        }
        const auto revision = m_revision;
        const bool isRead = co_await refresh();
        const bool isSeeking = !isRead || m_used.empty() || !m_pendingReleases.empty();
        const auto interval = m_revision == revision ? steadyInterval : changingInterval;
        // VMs beyond the number of slots would otherwise read the store each second indefinitely.
        seeking = isSeeking ? std::min(2 * seeking, steadyInterval) : seekingInterval / 2;
        co_await sleepFor(jittered(isSeeking ? seeking : interval));
    }
}

Task<bool> ShareManager::refresh()
{
    co_await readList();
    const auto stored = co_await readRecord();
    if (!stored || m_isStopping) {
        co_return false;
    }
    if (auto next = chooseChange(*stored)) {
        co_await write(*stored, std::move(*next));
    }
    co_return true;
}

Task<> ShareManager::readList()
{
    const auto list = co_await m_context.storeQueries.listVms();
    if (!list) {
        co_return;
    }
    std::vector<ShareListEntry> vms;
    for (const auto& it : list->vms) {
        vms.push_back({ it.vm, it.zone, it.peers, it.state == ListedVmState::Leaving });
    }
    m_evidence.updateList(list->revision, std::move(vms));
}

Task<std::optional<ShareManager::StoredRecord>> ShareManager::readRecord()
{
    const auto range = co_await m_context.storeQueries.read(std::string(StoreKeys::shares));
    if (!range) {
        co_return std::nullopt;
    }
    if (range->entries.empty()) {
        const auto configuration = m_context.configuration.current();
        // A record that was read before and is missing now is due to a stale read or an operator's mistake; neither
        // frees slots.
        if (m_revision > 0 || configuration->document.zones.empty()) {
            co_return std::nullopt;
        }
        co_return StoredRecord { { { 1, configuration->document.zones, 1 }, {} }, 0 };
    }
    const auto& entry = range->entries.front();
    auto record = decodeShareRecord(entry.value);
    if (!record || entry.modRevision < m_revision) {
        co_return std::nullopt;
    }
    adopt(*record, entry.modRevision);
    co_return StoredRecord { std::move(*record), entry.modRevision };
}

std::optional<ShareRecord> ShareManager::chooseChange(const StoredRecord& stored)
{
    if (const auto surplus = surplusSlot(stored.record, m_self, m_evidence)) {
        m_pendingReleases.insert(*surplus);
        adopt(stored.record, stored.revision);
    }
    if (!m_pendingReleases.empty()) {
        return releaseSlots(stored.record, m_self, m_pendingReleases);
    }
    return claimSlots(stored.record, m_self, m_evidence, m_context.clock.wallNow());
}

Task<bool> ShareManager::write(const StoredRecord& stored, ShareRecord next)
{
    const auto swapped = co_await m_context.storeCommands.compareAndSwap(
        std::string(StoreKeys::shares), stored.revision, encodeShareRecord(next), {});
    // After a lost response or a conflicting write the next read shows the current record.
    if (!swapped || !swapped->isSwapped) {
        co_return false;
    }
    adopt(next, swapped->revision, stored.revision == 0);
    co_return true;
}

void ShareManager::adopt(const ShareRecord& record, std::int64_t revision, bool isNew)
{
    if (revision < m_revision) {
        return;
    }
    const auto held = slotsOf(record, m_self);
    std::erase_if(m_pendingReleases, [&](const ShareSlotId& slot) { return !held.contains(slot); });
    std::set<ShareSlotId> used;
    if (!m_isStopping) {
        std::set_difference(held.begin(), held.end(), m_pendingReleases.begin(), m_pendingReleases.end(),
            std::inserter(used, used.end()));
    }
    const bool isChanged = used != m_used || m_record != record;
    for (const auto& slot : used) {
        if (!m_used.contains(slot)) {
            m_context.timeline.record(EventKind::ShareTaken, { { "slot", describe(slot) } });
        }
    }
    for (const auto& slot : m_used) {
        if (!used.contains(slot)) {
            m_context.timeline.record(EventKind::ShareReleased, { { "slot", describe(slot) } });
        }
    }
    m_revision = revision;
    m_record = record;
    m_used = std::move(used);
    if (isChanged && isNew) {
        m_context.shares.adoptNewRecord(record, m_used);
    } else if (isChanged) {
        m_context.shares.adoptShares(record, m_used);
    }
}

Task<> ShareManager::release()
{
    m_isStopping = true;
    if (!m_record) {
        co_return;
    }
    adopt(*m_record, m_revision);
    for (int i = 0; i < releaseAttempts; ++i) {
        const auto stored = co_await readRecord();
        auto next = stored ? releaseSlots(stored->record, m_self, slotsOf(stored->record, m_self)) : std::nullopt;
        if (stored && !next) {
            co_return;
        }
        if (next && co_await write(*stored, std::move(*next))) {
            co_return;
        }
    }
}

} // namespace Pollenwind
