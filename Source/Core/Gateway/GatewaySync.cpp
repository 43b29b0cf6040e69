#include "Gateway/GatewaySync.h"

#include "Common/Sleep.h"
#include "Gateway/GatewayKeys.h"
#include "Gateway/RolloutRecords.h"
#include "Gateway/StoreCrossing.h"
#include "Store/StorePosition.h"
#include "Timeline/Log.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // A working watch delivers a change within milliseconds, and within this time if the store is slow.
    constexpr std::chrono::milliseconds maxEventDelay { 300 };

    constexpr std::chrono::milliseconds minWatchWait { 200 };

} // namespace

Task<> GatewaySync::run()
{
    for (;;) {
        m_context.runners.endMissingEntries();
        const auto [feed, watcher] = m_context.feeds.select(age(), m_context.orders.isHeld());
        const auto result = m_needsRead ? co_await readAll(feed) : co_await readChanges(feed, watcher.has_value());
        if (!watcher) {
            setReachable(result.has_value(), result ? "answered" : result.error().message);
        }
        m_isAnswerLost = !result;
        if (result) {
            m_pause = m_options.retryPause;
        } else {
            co_await onFailure(watcher, result.error());
        }
    }
}

Task<> GatewaySync::onFailure(std::optional<VmId> watcher, Error error)
{
    const bool isConflict = error.code == ErrorCode::Conflict;
    const bool isImmediate = isConflict && takeImmediateRead();
    if (watcher && !isImmediate) {
        // After a failed call the changes up to the local revision are still complete, so another call can continue
        // from there, at the same feed or at another one.
        m_context.feeds.recordFailure(*watcher, error);
        co_return;
    }
    m_needsRead = m_needsRead || isConflict;
    if (watcher) {
        co_await sleepFor(m_context.feeds.readDelay());
        co_return;
    }
    if (isImmediate) {
        co_return;
    }
    co_await sleepFor(m_pause);
    // Failed calls cost as much as others, and many VMs make them.
    const auto longest = m_context.fleet.isLarge() ? m_options.largeFleetRetryPause : m_options.batchDelay;
    m_pause = std::min(2 * m_pause, std::max(m_options.retryPause, longest));
}

bool GatewaySync::takeImmediateRead()
{
    const auto now = m_context.clock.now();
    if (now - m_immediateReadAt < m_options.batchDelay) {
        return false;
    }
    m_immediateReadAt = now;
    return true;
}

void GatewaySync::setReachable(bool isReachable, std::string_view why)
{
    if (isReachable != m_isReachable) {
        m_isReachable = isReachable;
        m_context.timeline.record(
            isReachable ? EventKind::StoreUp : EventKind::StoreDown, { { "cause", std::string(why) } });
    }
}

void GatewaySync::recordRejectedRead(std::int64_t revision)
{
    m_context.metrics.count(Counter::StoreReadsRejected);
    if (!std::exchange(m_isReadRejected, true)) {
        m_context.timeline.record(EventKind::StoreReadRejected,
            { { "read", std::to_string(revision) }, { "local", std::to_string(m_revision) } });
    }
}

Task<Outcome<void>> GatewaySync::readAll(ChangeFeed& feed)
{
    const auto requestedAt = m_context.clock.now();
    const auto records = co_await feed.readAll();
    if (!records) {
        co_return std::unexpected(records.error());
    }
    if (records->range.revision < m_revision) {
        // Another VM's records may be older than what this one has already used.
        recordRejectedRead(records->range.revision);
        co_return fail(ErrorCode::StoreUnavailable, "the records are older than the local ones");
    }
    const bool isRestored = StorePosition::isBefore(m_revision, StorePosition::eraOf(records->range.revision));
    bool isConfirmed = true;
    if (m_revision == 0 && StorePosition::isOfRestoredStore(records->range.revision)) {
        isConfirmed = applyLostConfigurations(co_await readLostConfigurations(records->range));
    }
    m_context.orders.updateStorePosition(records->range.revision);
    if (isRestored) {
        isConfirmed = co_await compareWithOtherVms(records->range);
    }
    applyAll(records->range, isRestored);
    m_context.quarantine.endRead(records->range.revision);
    m_context.rollouts.endRead(records->range.revision);
    if (m_context.quotaRecords) {
        m_context.quotaRecords->endRead(records->range.revision);
    }
    m_revision = records->range.revision;
    const auto readAt = requestedAt - records->age;
    if (isRestored || !isConfirmed) {
        recordCopy(readAt, isConfirmed);
    } else {
        m_freshness.recordChangesUntil(readAt);
    }
    m_answeredAt = m_context.clock.now();
    m_needsRead = false;
    m_isReadRejected = false;
    m_context.log.replace(records->range);
    if (m_onRead) {
        m_onRead();
    }
    if (isRestored && m_onRestored) {
        m_onRestored();
    }
    co_return Outcome<void> {};
}

Task<std::vector<StoreEntry>> GatewaySync::readLostConfigurations(const StoreRange& range)
{
    // The other VMs are known by their records only.
    for (const auto& entry : range.entries) {
        if (entry.key.starts_with(vmRecordPrefix)) {
            m_context.fleet.updateRecord(VmId(entry.key.substr(vmRecordPrefix.size())), entry.value);
        }
    }
    co_return co_await m_context.fleetConfigurations.readNewer(
        std::max(m_configuration, configurationVersionOf(range)));
}

Task<bool> GatewaySync::compareWithOtherVms(const StoreRange& range)
{
    m_isNewerUnreadable = false;
    const bool isReadable = applyLostConfigurations(
        co_await m_context.fleetConfigurations.readNewerOnce(std::max(m_configuration, configurationVersionOf(range))));
    co_return m_context.fleetConfigurations.hasAnswered() && isReadable;
}

void GatewaySync::recordCopy(MonotonicTime readAt, bool isConfirmed)
{
    m_freshness.recordCopy(readAt);
    if (isConfirmed) {
        confirmCopy("other VMs");
        return;
    }
    m_context.metrics.set(Gauge::UnconfirmedCopy, 1);
    logStateChange("store-copy-unconfirmed",
        { { "cause",
            m_isNewerUnreadable ? "a newer configuration of another VM cannot be read"
                                : "too few of the other VMs have answered" } });
}

void GatewaySync::confirmCopy(std::string_view source)
{
    if (m_freshness.isCopyConfirmed()) {
        return;
    }
    m_freshness.confirmCopy();
    m_context.metrics.set(Gauge::UnconfirmedCopy, 0);
    logStateChange("store-copy-confirmed", { { "source", std::string(source) } });
}

Task<> GatewaySync::followOtherVms()
{
    for (;;) {
        co_await sleepFor(m_options.inquiryInterval);
        if (!StorePosition::isOfRestoredStore(m_revision)) {
            continue;
        }
        const auto revision = m_revision;
        applyLostConfigurations(co_await m_context.fleetConfigurations.readNewerFromOthers(m_configuration));
        // Answers to an earlier inquiry tell nothing about a copy that was read meanwhile.
        const bool isSameCopy = !StorePosition::isBefore(revision, StorePosition::eraOf(m_revision));
        if (isSameCopy && !m_isNewerUnreadable && m_context.fleetConfigurations.hasAnswered()) {
            confirmCopy("other VMs");
        }
    }
}

bool GatewaySync::applyLostConfigurations(const std::vector<StoreEntry>& entries)
{
    for (const auto& entry : entries) {
        auto record = m_context.codec.decode(entry);
        if (auto* configuration = record ? std::get_if<RoutingConfiguration>(&*record) : nullptr) {
            applyConfiguration(std::move(*configuration), entry);
        } else {
            m_isNewerUnreadable = true;
            recordUnreadable(entry.key, record ? "not a configuration" : record.error().message);
        }
    }
    return !m_isNewerUnreadable;
}

std::int64_t GatewaySync::configurationVersionOf(const StoreRange& range) const
{
    std::int64_t version = 0;
    for (const auto& entry : range.entries) {
        if (m_context.codec.runnerOf(entry.key)) {
            continue;
        }
        const auto record = m_context.codec.decode(entry);
        if (const auto* configuration = record ? std::get_if<RoutingConfiguration>(&*record) : nullptr) {
            version = std::max(version, configuration->version);
        }
    }
    return version;
}

void GatewaySync::applyAll(const StoreRange& range, bool isRestored)
{
    StoreCrossing crossing { .from = m_revision, .to = range.revision, .knownConfiguration = m_configuration };
    m_receivedConfiguration = 0;
    Listing listing;
    for (const auto& entry : range.entries) {
        list(entry, listing);
    }
    std::erase_if(m_unreadableKeys, [&range](const std::string& key) {
        return std::ranges::find(range.entries, key, &StoreEntry::key) == range.entries.end();
    });
    crossing.runners = listing.runners.size();
    if (isRestored) {
        crossing.missingRunners = m_context.runners.restoreEntries(std::move(listing.runners));
    } else {
        m_context.runners.replaceEntries(std::move(listing.runners));
    }
    if (m_context.evacuations) {
        m_context.evacuations->replaceAll(listing.evacuatedZones, isRestored);
    }
    crossing.missingVms = m_context.fleet.markOtherRecordsEnded(listing.vms);
    // Known before the first requests are admitted.
    m_context.quota.setLargeFleet(m_context.fleet.isLarge());
    if (!listing.hasHolder) {
        m_context.orders.clearHolder();
    }
    if (isRestored) {
        crossing.copiedConfiguration = m_receivedConfiguration;
        m_context.metrics.count(Counter::StoreRestores);
        m_context.timeline.record(EventKind::StoreRestored, crossing.fields());
    }
}

void GatewaySync::list(const StoreEntry& entry, Listing& listing)
{
    if (m_context.codec.runnerOf(entry.key)) {
        auto record = m_context.codec.decode(entry);
        if (record && std::holds_alternative<RunnerEntry>(*record)) {
            listing.runners.push_back(std::get<RunnerEntry>(std::move(*record)));
            listing.runners.back().revision = entry.modRevision;
            m_unreadableKeys.erase(entry.key);
        } else {
            recordUnreadable(entry.key, record ? "not a runner's entry" : record.error().message);
        }
        return;
    }
    if (const auto zone = m_context.codec.evacuationOf(entry.key)) {
        listing.evacuatedZones.insert(*zone);
        return;
    }
    listing.hasHolder = listing.hasHolder || entry.key == orderHolderKey;
    if (entry.key.starts_with(vmRecordPrefix)) {
        listing.vms.insert(VmId(entry.key.substr(vmRecordPrefix.size())));
    }
    apply(entry, m_freshness.changesUntil(), ChangeSource::Read);
}

Task<Outcome<void>> GatewaySync::readChanges(ChangeFeed& feed, bool isFollower)
{
    const auto requestedAt = m_context.clock.now();
    const auto wait = nextWait(isFollower);
    const auto reply = co_await feed.changesAfter(m_revision, wait);
    if (!reply) {
        co_return std::unexpected(reply.error());
    }
    if (StorePosition::isBefore(m_revision, StorePosition::eraOf(reply->changes.revision))) {
        co_return fail(ErrorCode::Conflict, "the changes belong to a later era of the store");
    }
    const auto delay = batchDelay(isFollower) + reply->age;
    const auto answeredAt = m_context.clock.now();
    const bool isTimely
        = !m_isAnswerLost && answeredAt - std::exchange(m_answeredAt, answeredAt) <= wait + delay + maxEventDelay;
    applyChanges(*reply, requestedAt, delay, isTimely);
    if (!reply->changes.events.empty()) {
        co_await sleepFor(batchDelay(isFollower));
    }
    co_return Outcome<void> {};
}

void GatewaySync::applyChanges(
    const FeedChanges& reply, MonotonicTime requestedAt, std::chrono::nanoseconds delay, bool isTimely)
{
    const auto freshAt = m_freshness.changesUntil();
    const auto writtenAfter = isTimely ? std::max(freshAt, m_context.clock.now() - maxEventDelay - delay) : freshAt;
    for (const auto& event : reply.changes.events) {
        if (event.isErased) {
            applyErased(event.entry.key);
        } else {
            apply(event.entry, writtenAfter, isTimely ? ChangeSource::Event : ChangeSource::LateEvent);
        }
    }
    m_revision = std::max(m_revision, reply.changes.revision);
    // The response was written after the request and after the time for which the feed waited.
    m_freshness.recordChangesUntil(requestedAt + reply.waited - reply.age);
    m_context.log.append(reply.changes);
}

std::chrono::milliseconds GatewaySync::nextWait(bool isFollower) const
{
    if (isFollower) {
        return m_options.followerWait;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.freshnessGoal - age());
    return std::clamp(left, minWatchWait, m_context.fleet.isLarge() ? m_options.watcherWait : m_options.watchWait);
}

std::chrono::milliseconds GatewaySync::batchDelay(bool isFollower) const
{
    if (isFollower || m_context.orders.isHeld()) {
        return m_options.shortBatchDelay;
    }
    return m_context.fleet.isLarge() ? m_options.largeFleetBatchDelay : m_options.batchDelay;
}

void GatewaySync::apply(const StoreEntry& entry, MonotonicTime writtenAfter, ChangeSource source)
{
    if (entry.key.starts_with(vmRecordPrefix)) {
        m_context.fleet.updateRecord(VmId(entry.key.substr(vmRecordPrefix.size())), entry.value);
        return;
    }
    if (entry.key.starts_with(quarantineRecordPrefix)) {
        m_context.quarantine.updateRecord(entry.key, entry.value, entry.modRevision);
        return;
    }
    if (entry.key == quotaRecordKey) {
        if (m_context.quotaRecords) {
            m_context.quotaRecords->updateRecord(entry.value, entry.modRevision);
        }
        return;
    }
    if (entry.key == orderHolderKey) {
        m_context.orders.updateHolder(entry.value, entry.modRevision);
        return;
    }
    if (entry.key == orderStateKey) {
        m_context.orders.updateState(entry.value, entry.modRevision);
        return;
    }
    if (entry.key.starts_with(rolloutRecordPrefix)) {
        const ServiceId service(entry.key.substr(rolloutRecordPrefix.size()));
        // An unreadable record counts as one of no order, and is replaced.
        const auto rollout = RolloutRecords::decode(service, entry.value).value_or(RolloutRecord { service });
        m_context.rollouts.adoptRecord(rollout, entry.modRevision);
        return;
    }
    auto record = m_context.codec.decode(entry);
    if (!record) {
        recordUnreadable(entry.key, record.error().message);
        if (const auto runner = m_context.codec.runnerOf(entry.key)) {
            m_context.runners.markEntryEnded(*runner);
        }
        return;
    }
    m_unreadableKeys.erase(entry.key);
    if (auto* configuration = std::get_if<RoutingConfiguration>(&*record)) {
        applyConfiguration(std::move(*configuration), entry);
        if (source != ChangeSource::Read && m_receivedConfiguration >= m_configuration) {
            // Written after the copy was read, with all that the operator has withdrawn.
            confirmCopy("operator");
        }
    } else if (auto* runner = std::get_if<RunnerEntry>(&*record)) {
        runner->revision = entry.modRevision;
        m_context.runners.updateEntry(std::move(*runner));
    } else if (const auto* weights = std::get_if<TargetWeights>(&*record)) {
        m_context.runners.setTargetWeights(weights->model, weights->version, writtenAfter, source);
    } else if (const auto* rollout = std::get_if<RolloutOrder>(&*record)) {
        m_context.rollouts.adoptOrder(*rollout, writtenAfter);
    } else if (const auto* evacuation = std::get_if<ZoneEvacuation>(&*record); evacuation && m_context.evacuations) {
        m_context.evacuations->begin(evacuation->zone);
    }
}

void GatewaySync::recordUnreadable(const std::string& key, const std::string& cause)
{
    if (m_unreadableKeys.insert(key).second) {
        logStateChange("record-unreadable", { { "key", key }, { "cause", cause } });
    }
}

void GatewaySync::applyConfiguration(RoutingConfiguration configuration, const StoreEntry& entry)
{
    m_receivedConfiguration = configuration.version;
    const auto organisations = configuration.organisations;
    const auto unreadable = std::move(configuration.unreadableEntries);
    if (m_context.routing.adopt(std::move(configuration))) {
        if (!unreadable.empty()) {
            logStateChange("configuration-entries-unreadable",
                { { "version", std::to_string(m_receivedConfiguration) },
                    { "entries", std::to_string(unreadable.size()) }, { "first", unreadable.front() } });
        }
        m_configuration = m_receivedConfiguration;
        m_context.quota.setOrganisations(organisations);
        m_context.log.setConfiguration({ m_configuration, entry });
    } else {
        m_context.metrics.count(Counter::StaleConfigurations);
    }
}

void GatewaySync::applyErased(const std::string& key)
{
    m_unreadableKeys.erase(key);
    if (key.starts_with(vmRecordPrefix)) {
        m_context.fleet.markRecordEnded(VmId(key.substr(vmRecordPrefix.size())));
    } else if (key == orderHolderKey) {
        m_context.orders.clearHolder();
    } else if (key.starts_with(quarantineRecordPrefix)) {
        m_context.quarantine.markRecordErased(key);
    } else if (key == quotaRecordKey) {
        if (m_context.quotaRecords) {
            m_context.quotaRecords->markRecordErased();
        }
    } else if (const auto runner = m_context.codec.runnerOf(key)) {
        m_context.runners.markEntryEnded(*runner);
    } else if (const auto service = m_context.codec.rolloutOrderOf(key)) {
        m_context.rollouts.withdrawOrder(*service);
    } else if (const auto zone = m_context.codec.evacuationOf(key); zone && m_context.evacuations) {
        m_context.evacuations->end(*zone);
    }
}

} // namespace Pollenwind
