#include "Gateway/GatewaySync.h"

#include "Common/Sleep.h"
#include "Gateway/GatewayKeys.h"
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
    auto pause = m_options.retryPause;
    for (;;) {
        if (co_await readAll()) {
            pause = m_options.retryPause;
            co_await followChanges();
        } else {
            // Failed calls cost as much as others, and every VM makes them.
            pause = std::min(2 * pause, std::max(m_options.retryPause, batchDelay()));
        }
        co_await sleepFor(pause);
    }
}

void GatewaySync::setReachable(bool isReachable, std::string_view why)
{
    if (isReachable != m_isReachable) {
        m_isReachable = isReachable;
        m_context.timeline.record(
            isReachable ? EventKind::StoreUp : EventKind::StoreDown, { { "cause", std::string(why) } });
    }
}

Task<bool> GatewaySync::readAll()
{
    const auto requestedAt = m_context.clock.now();
    const auto range = co_await m_context.store.readPrefix("");
    if (!range) {
        setReachable(false, range.error().message);
        co_return false;
    }
    std::vector<RunnerEntry> runners;
    std::set<VmId> vms;
    bool hasHolder = false;
    for (const auto& entry : range->entries) {
        if (const auto runner = m_context.codec.runnerOf(entry.key)) {
            auto record = m_context.codec.decode(entry);
            if (record && std::holds_alternative<RunnerEntry>(*record)) {
                runners.push_back(std::get<RunnerEntry>(std::move(*record)));
            } else {
                logStateChange("runner-entry-unreadable", { { "runner", runner->value() } });
            }
            continue;
        }
        hasHolder = hasHolder || entry.key == orderHolderKey;
        if (entry.key.starts_with(vmRecordPrefix)) {
            vms.insert(VmId(entry.key.substr(vmRecordPrefix.size())));
        }
        apply(entry, m_freshAt);
    }
    m_context.runners.replaceEntries(std::move(runners));
    m_context.fleet.markOtherRecordsEnded(vms);
    if (!hasHolder) {
        m_context.orders.clearHolder();
    }
    m_revision = range->revision;
    m_freshAt = std::max(m_freshAt, requestedAt);
    setReachable(true, "read");
    co_return true;
}

Task<> GatewaySync::followChanges()
{
    const auto watch = co_await m_context.store.openWatch("", m_revision + 1);
    if (!watch) {
        setReachable(false, watch.error().message);
        co_return;
    }
    for (;;) {
        const auto requestedAt = m_context.clock.now();
        const auto wait = nextWait();
        const auto changes = co_await m_context.store.nextEventsWithin(*watch, wait);
        if (!changes) {
            setReachable(false, changes.error().message);
            break;
        }
        for (const auto& event : changes->events) {
            if (event.isErased) {
                applyErased(event.entry.key);
            } else {
                apply(event.entry, std::max(m_freshAt, m_context.clock.now() - maxEventDelay - batchDelay()));
            }
        }
        m_revision = std::max(m_revision, changes->revision);
        // A response without changes was written when the wait ended, one with changes at some time after the call.
        const auto waited = m_context.clock.now() - requestedAt;
        const bool isFullWait = changes->events.empty() && waited >= wait;
        m_freshAt = std::max(m_freshAt, isFullWait ? requestedAt + wait : requestedAt);
        setReachable(true, "watch");
        if (!changes->events.empty()) {
            co_await sleepFor(batchDelay());
        }
    }
    m_context.store.closeWatch(*watch);
}

std::chrono::milliseconds GatewaySync::nextWait() const
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.freshnessGoal - age());
    return std::clamp(left, minWatchWait, m_options.watchWait);
}

std::chrono::milliseconds GatewaySync::batchDelay() const
{
    if (m_context.orders.isHeld()) {
        return m_options.holderBatchDelay;
    }
    return m_context.fleet.isLarge() ? m_options.largeFleetBatchDelay : m_options.batchDelay;
}

void GatewaySync::apply(const StoreEntry& entry, MonotonicTime writtenAfter)
{
    if (entry.key.starts_with(vmRecordPrefix)) {
        m_context.fleet.updateRecord(VmId(entry.key.substr(vmRecordPrefix.size())), entry.value);
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
    auto record = m_context.codec.decode(entry);
    if (!record) {
        logStateChange("record-unreadable", { { "key", entry.key }, { "cause", record.error().message } });
        if (const auto runner = m_context.codec.runnerOf(entry.key)) {
            m_context.runners.markEntryEnded(*runner);
        }
        return;
    }
    if (auto* configuration = std::get_if<RoutingConfiguration>(&*record)) {
        const auto organisations = configuration->organisations;
        if (m_context.routing.adopt(std::move(*configuration))) {
            m_context.quota.setOrganisations(organisations);
        } else {
            m_context.metrics.count(Counter::StaleConfigurations);
        }
    } else if (auto* runner = std::get_if<RunnerEntry>(&*record)) {
        m_context.runners.updateEntry(std::move(*runner));
    } else if (const auto* weights = std::get_if<TargetWeights>(&*record)) {
        m_context.runners.setTargetWeights(weights->model, weights->version, writtenAfter);
    }
}

void GatewaySync::applyErased(const std::string& key)
{
    if (key.starts_with(vmRecordPrefix)) {
        m_context.fleet.markRecordEnded(VmId(key.substr(vmRecordPrefix.size())));
    } else if (key == orderHolderKey) {
        m_context.orders.clearHolder();
    } else if (const auto runner = m_context.codec.runnerOf(key)) {
        m_context.runners.markEntryEnded(*runner);
    }
}

} // namespace Pollenwind
