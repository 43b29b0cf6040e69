#include "Router/StoreSync.h"

#include "Common/Digest.h"
#include "Common/Sleep.h"
#include "Router/MoveRecords.h"
#include "Router/StoreKeys.h"
#include "Router/StoreRecords.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    constexpr std::chrono::seconds probeInterval { 1 };
    constexpr std::chrono::milliseconds shortestBackoff { 200 };
    constexpr std::chrono::milliseconds longestBackoff { 3000 };

    /// Random delay up to a limit, so that routers that lost the store at the same time do not reconnect at the same
    /// time.
    std::chrono::milliseconds jittered(std::chrono::milliseconds limit)
    {
        return std::chrono::milliseconds(1 + randomBits() % static_cast<std::uint64_t>(limit.count()));
    }

} // namespace

StoreSync::StoreSync(StoreSyncContext context)
    : m_context(context)
{
}

Task<> StoreSync::followRecords()
{
    auto backoff = shortestBackoff;
    if (m_context.startJitter.count() > 0) {
        co_await sleepFor(jittered(m_context.startJitter));
    }
    for (;;) {
        const auto revision = co_await readAll();
        if (revision) {
            backoff = shortestBackoff;
            setStoreState(true, "");
            const auto ended = co_await followWatch(*revision + 1);
            setStoreState(false, ended.error().message);
        } else {
            setStoreState(false, revision.error().message);
        }
        co_await sleepFor(jittered(backoff));
        backoff = std::min(backoff * 2, longestBackoff);
    }
}

Task<Outcome<std::int64_t>> StoreSync::readAll()
{
    const auto range = co_await m_context.store.readPrefix(std::string(StoreKeys::shared));
    if (!range) {
        co_return std::unexpected(range.error());
    }
    if (range->revision < m_deliveredRevision) {
        co_return fail(ErrorCode::StoreUnavailable, "the store returned an older revision than seen before");
    }
    for (const auto& entry : range->entries) {
        applyEntry(entry);
    }
    onDelivered(range->revision);
    co_return range->revision;
}

Task<Outcome<void>> StoreSync::followWatch(std::int64_t fromRevision)
{
    const auto watch = co_await m_context.store.openWatch(std::string(StoreKeys::shared), fromRevision);
    if (!watch) {
        co_return std::unexpected(watch.error());
    }
    for (;;) {
        const auto events = co_await m_context.store.nextEvents(*watch);
        if (!events) {
            m_context.store.closeWatch(*watch);
            co_return std::unexpected(events.error());
        }
        for (const auto& event : events->events) {
            if (!event.isErased) {
                applyEntry(event.entry);
            }
        }
        onDelivered(events->revision);
    }
}

Task<> StoreSync::probeRevision()
{
    for (;;) {
        co_await sleepFor(probeInterval);
        const auto sentAt = m_context.clock.now();
        const auto range = co_await m_context.store.read(std::string(StoreKeys::probe));
        if (range) {
            m_probes.push_back({ range->revision, sentAt });
            onDelivered(m_deliveredRevision);
        }
    }
}

void StoreSync::applyEntry(const StoreEntry& entry)
{
    if (entry.key == StoreKeys::configuration) {
        auto record = decodeConfigurationRecord(entry.value);
        const auto result = record
            ? m_context.configuration.adopt(Revision(entry.modRevision), std::move(record->document))
            : AdoptResult::Invalid;
        if (result == AdoptResult::Stale) {
            m_context.metrics.count(Counter::StaleConfigurations);
        }
    } else if (entry.key.starts_with(StoreKeys::keys)) {
        const auto record = decodeKeyRecord(std::string_view(entry.key).substr(StoreKeys::keys.size()), entry.value);
        if (record) {
            m_context.keys.merge(*record);
            m_context.repair.onStoreRecord(*record);
        }
    } else if (entry.key.starts_with(StoreKeys::moves)) {
        auto record = decodeMoveRecord(entry.value);
        if (record) {
            m_context.moves.adopt(entry.modRevision, std::move(*record));
        }
    }
}

void StoreSync::onDelivered(std::int64_t revision)
{
    m_deliveredRevision = std::max(m_deliveredRevision, revision);
    while (!m_probes.empty() && m_probes.front().revision <= m_deliveredRevision) {
        m_confirmedAt = std::max(m_confirmedAt, m_probes.front().sentAt);
        m_context.keys.confirm(m_probes.front().sentAt);
        m_probes.pop_front();
    }
}

void StoreSync::setStoreState(bool isUp, const std::string& reason)
{
    if (isUp != m_isStoreUp) {
        m_isStoreUp = isUp;
        m_context.timeline.record(isUp ? EventKind::StoreUp : EventKind::StoreDown, { { "reason", reason } });
    }
}

} // namespace Pollenwind
