#include "Gateway/OrderLease.h"

#include "Common/JsonFields.h"
#include "Common/Sleep.h"
#include "Gateway/GatewayKeys.h"

#include <xxhash.h>

#include <algorithm>

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds checkInterval { 300 };
    constexpr std::chrono::milliseconds releaseCheckInterval { 20 };

    // Spreads the attempts of the VMs after a lease expired, so that most VMs see the new holder before they try. In a
    // large fleet a VM receives the new holder up to 1.6 s later.
    constexpr std::uint64_t minSpreadMs = 250;
    constexpr std::uint64_t spreadMsPerVm = 60;

} // namespace

OrderLease::OrderLease(const Clock& clock, StoreCommands& store, TimelineCommands& timeline, VmId vm,
    Incarnation incarnation, OrderLeaseOptions options)
    : m_clock(clock)
    , m_store(store)
    , m_timeline(timeline)
    , m_vm(std::move(vm))
    , m_holderValue(m_vm.value() + "/" + std::to_string(incarnation.value()))
    , m_options(options)
{
}

void OrderLease::updateStorePosition(std::int64_t position)
{
    if (!m_era.update(position)) {
        return;
    }
    const auto now = m_clock.now();
    m_wasHolder = now < m_validUntil;
    m_earlierLeasesEnd = now + m_options.timeToLive;
    m_isHolderKnown = false;
    if (m_isHeld) {
        lose("the store was restored");
    }
}

void OrderLease::updateHolder(const std::string& holder, std::int64_t revision)
{
    updateStorePosition(revision);
    if (m_era.isEarlier(revision)) {
        return;
    }
    m_isHolderKnown = true;
    m_holder = holder;
    m_holderRevision = revision;
    if (m_isHeld && holder != m_holderValue && revision > m_fencingToken) {
        m_validUntil = MonotonicTime(0);
        lose("another VM holds the lease");
    }
}

void OrderLease::clearHolder()
{
    m_isHolderKnown = true;
    m_holder.clear();
}

void OrderLease::updateState(const std::string& value, std::int64_t revision)
{
    updateStorePosition(revision);
    if (revision <= m_stateRevision) {
        return;
    }
    const auto record = JsonFields::Json::parse(value, nullptr, false);
    m_stateRevision = revision;
    m_stateVm = record.is_object() ? JsonFields::readString(record, "vm") : std::string();
    // An unreadable record may belong to a VM whose orders are in progress.
    m_isStateActive = !record.is_object() || JsonFields::readBoolean(record, "active", true);
    if (m_isHeld) {
        delayOrders();
    }
}

void OrderLease::delayOrders()
{
    const auto from = firstOrderTime();
    if (from <= m_orderFrom) {
        return;
    }
    m_orderFrom = from;
    const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(m_orderFrom - m_clock.now());
    m_timeline.record(EventKind::LeaseDelayed,
        { { "lease", "orders" }, { "token", std::to_string(m_fencingToken) }, { "active_holder", m_stateVm },
            { "pause_ms", std::to_string(pause.count()) } });
}

bool OrderLease::mayOrderWithin(std::chrono::nanoseconds time) const
{
    return isHeld() && m_clock.now() + time >= m_orderFrom;
}

bool OrderLease::mayOrder() const
{
    const auto now = m_clock.now();
    return isHeld() && now + m_options.safetyMargin < m_validUntil && now >= m_orderFrom;
}

void OrderLease::lose(std::string_view why)
{
    m_isHeld = false;
    m_timeline.record(EventKind::LeaseLost, { { "lease", "orders" }, { "cause", std::string(why) } });
}

Task<> OrderLease::run()
{
    while (!m_isReleased) {
        if (m_isHeld) {
            co_await renew();
            co_await sleepFor(m_options.renewInterval);
            continue;
        }
        if (m_isHolderKnown && m_holder == m_holderValue) {
            co_await eraseOwnRecord();
        }
        if (m_isHolderKnown && m_holder.empty()) {
            co_await sleepFor(acquireDelay());
            if (m_isHolderKnown && m_holder.empty() && !m_isReleased) {
                co_await acquire();
            }
        }
        co_await sleepFor(checkInterval);
    }
}

std::chrono::milliseconds OrderLease::acquireDelay() const
{
    if (m_wasHolder) {
        return std::chrono::milliseconds(0);
    }
    const auto spread = std::max<std::uint64_t>(minSpreadMs, spreadMsPerVm * m_fleetSize);
    return std::chrono::milliseconds(XXH3_64bits(m_holderValue.data(), m_holderValue.size()) % spread);
}

Task<> OrderLease::eraseOwnRecord()
{
    const auto revision = m_holderRevision;
    const auto erased = co_await m_store.compareAndErase(std::string(orderHolderKey), revision);
    if (!erased || revision != m_holderRevision) {
        co_return;
    }
    if (!erased->isSwapped && erased->found) {
        updateHolder(erased->found->value, erased->found->modRevision);
    } else {
        clearHolder();
    }
}

MonotonicTime OrderLease::firstOrderTime() const
{
    const bool mayFollowOther = m_isStateActive && m_stateVm != m_vm.value();
    const bool mayFollowEarlierEra = m_earlierLeasesEnd.count() > 0 && !m_wasHolder;
    // The pause of an earlier lease of this VM may not have passed.
    return std::max({ m_acquiredAt, m_orderFrom, mayFollowOther ? m_acquiredAt + m_options.handoverPause : m_acquiredAt,
        mayFollowEarlierEra ? m_earlierLeasesEnd + m_options.handoverPause : m_acquiredAt });
}

Task<> OrderLease::acquire()
{
    const auto requestedAt = m_clock.now();
    const auto lease = co_await m_store.grantLease(m_options.timeToLive);
    if (!lease) {
        co_return;
    }
    const auto swapped = co_await m_store.compareAndSwap(std::string(orderHolderKey), 0, m_holderValue, *lease);
    if (!swapped || !swapped->isSwapped) {
        // A write without a response may have taken effect. Its lease expires because it is not renewed.
        if (swapped && swapped->found) {
            updateHolder(swapped->found->value, swapped->found->modRevision);
        }
        co_return;
    }
    updateStorePosition(swapped->revision);
    if (m_era.isEarlier(swapped->revision)) {
        co_return;
    }
    m_isHeld = true;
    m_lease = *lease;
    m_fencingToken = swapped->revision;
    m_validUntil = requestedAt + m_options.timeToLive;
    m_isHolderKnown = true;
    m_holder = m_holderValue;
    m_holderRevision = swapped->revision;
    m_acquiredAt = m_clock.now();
    m_orderFrom = firstOrderTime();
    const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(m_orderFrom - m_clock.now());
    m_timeline.record(EventKind::LeaseTaken,
        { { "lease", "orders" }, { "token", std::to_string(m_fencingToken) },
            { "follows_active_holder", pause.count() > 0 ? "true" : "false" },
            { "pause_ms", std::to_string(pause.count()) }, { "state_revision", std::to_string(m_stateRevision) } });
}

Task<> OrderLease::renew()
{
    const auto requestedAt = m_clock.now();
    const auto left = co_await m_store.keepAlive(m_lease);
    if (left) {
        m_validUntil = requestedAt + m_options.timeToLive;
    } else if (left.error().code == ErrorCode::NotFound) {
        lose("the lease has expired");
    } else if (m_clock.now() >= m_validUntil) {
        lose("the lease could not be renewed: " + left.error().message);
    }
}

bool OrderLease::isStateStored() const { return !m_era.isEarlier(m_stateRevision); }

Task<bool> OrderLease::writeState(bool isActive)
{
    const JsonFields::Json record { { "vm", m_vm.value() }, { "active", isActive } };
    // The copy from which the store was restored may not have the record.
    const auto expected = isStateStored() ? m_stateRevision : 0;
    const auto swapped = co_await m_store.compareAndSwap(std::string(orderStateKey), expected, record.dump());
    // An answered write, or the record that another one found, shows that the condition of earlier writes has become
    // false.
    m_isStateWriteUnanswered = !swapped;
    if (swapped && swapped->isSwapped) {
        m_stateRevision = swapped->revision;
        m_stateVm = m_vm.value();
        m_isStateActive = isActive;
        co_return true;
    }
    if (swapped && swapped->found) {
        updateState(swapped->found->value, swapped->found->modRevision);
        // An earlier write without an answer, or one of another task, may have taken effect.
        co_return isStateStored() && m_stateVm == m_vm.value() && m_isStateActive == isActive;
    }
    co_return false;
}

Task<bool> OrderLease::beginOrders()
{
    const bool isRecorded = m_isStateActive && m_stateVm == m_vm.value() && isStateStored();
    if (isRecorded && !m_isStateWriteUnanswered && m_stateWrittenUnder == m_fencingToken) {
        co_return true;
    }
    // The known record may be older than the lease: another VM may have held the lease and written its own, which has
    // not been received yet. Only a conditional write under this lease tells.
    const auto token = m_fencingToken;
    if (!co_await writeState(true)) {
        co_return false;
    }
    m_stateWrittenUnder = token;
    co_return true;
}

Task<> OrderLease::endOrders()
{
    // The orders of two holders to one runner must be apart, also if the first one completed its orders in between.
    const bool isIdle = m_lastOrderAt.count() == 0
        || m_clock.now() - m_lastOrderAt >= m_options.handoverPause + m_options.safetyMargin;
    if (isIdle && m_isStateActive && m_stateVm == m_vm.value() && isHeld()) {
        co_await writeState(false);
    }
}

Task<> OrderLease::release()
{
    m_isReleased = true;
    if (m_isHeld) {
        m_isHeld = false;
        while (m_lastOrderAt.count() > 0 && m_clock.now() - m_lastOrderAt < m_options.safetyMargin) {
            co_await sleepFor(releaseCheckInterval);
        }
        co_await m_store.revoke(m_lease);
    }
}

} // namespace Pollenwind
