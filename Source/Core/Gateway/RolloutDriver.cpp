#include "Gateway/RolloutDriver.h"

#include "Common/Sleep.h"
#include "Gateway/RolloutRecords.h"

#include <xxhash.h>

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds checkInterval { 50 };
    // A watch without changes is answered after up to 2.2 s, so an age below this limit does not show that the store is
    // out of reach.
    constexpr std::chrono::milliseconds freshnessLimit { 3200 };
    // Pause after a failed write, since failed calls count against the store's limit too.
    constexpr std::chrono::milliseconds retryPause { 200 };

    // Time after which a VM without the lease writes a verdict. It differs between the VMs, so that the others have
    // learned the verdict before they try. ExposureRamp leaves 0.4 s between the verdict and the time limit.
    constexpr std::chrono::milliseconds standInDelay { 120 };
    constexpr std::uint64_t standInSpreadMs = 160;

    // Time after which a VM without the lease writes a verdict again that the store has lost, enough for the lease to
    // be acquired. Another VM gets the turn after the same time.
    constexpr std::chrono::seconds repeatDelay { 4 };

} // namespace

Task<> RolloutDriver::run()
{
    for (;;) {
        co_await sleepFor(checkInterval);
        m_context.rolloutCommands.refresh(m_context.freshness.age() < freshnessLimit, m_context.fleet.size());
        for (auto& change : m_context.rollouts.dueChanges()) {
            if (!mayWrite(change)) {
                continue;
            }
            if (!co_await write(std::move(change))) {
                co_await sleepFor(retryPause);
                break;
            }
        }
    }
}

bool RolloutDriver::mayWrite(const RolloutChange& change) const
{
    if (change.isRepeat) {
        const auto turn = static_cast<std::uint64_t>(m_context.clock.wallNow() / repeatDelay);
        const auto& service = change.record.service.value();
        return m_context.lease.isHeld()
            || (change.overdue >= repeatDelay && m_context.freshness.age() < freshnessLimit
                && m_context.fleet.isOwnTurn(XXH3_64bits(service.data(), service.size()) + turn));
    }
    const auto delay = standInDelay
        + std::chrono::milliseconds(XXH3_64bits(m_vm.value().data(), m_vm.value().size()) % standInSpreadMs);
    const bool isStandIn
        = isFinal(change.record.state) && change.overdue >= delay && m_context.freshness.age() < freshnessLimit;
    return m_context.lease.isHeld() || isStandIn;
}

Task<bool> RolloutDriver::write(RolloutChange change)
{
    auto& record = change.record;
    record.vm = m_vm;
    record.token = m_context.lease.isHeld() ? m_context.lease.fencingToken() : 0;
    const auto swapped = co_await m_context.store.compareAndSwapWith(
        { RolloutRecords::keyOf(record.service), RolloutRecords::encode(record) }, change.expectedRevision,
        m_context.codec.encodeStatus({ record.service, record.target, record.state }));
    m_context.timeline.record(EventKind::MoveStep,
        { { "service", record.service.value() }, { "target", record.target.value() },
            { "state", std::string(nameOf(record.state)) }, { "reason", std::string(nameOf(record.reason)) },
            { "token", std::to_string(record.token) }, { "evidence", record.evidence },
            { "outcome",
                !swapped                 ? swapped.error().message
                    : swapped->isSwapped ? "written"
                                         : "the record has changed" } });
    if (!swapped) {
        // The write may have taken effect. The next one then finds the record changed.
        co_return false;
    }
    if (swapped->isSwapped) {
        m_context.rolloutCommands.adoptRecord(record, swapped->revision);
    } else if (swapped->found) {
        if (const auto found = RolloutRecords::decode(record.service, swapped->found->value)) {
            m_context.rolloutCommands.adoptRecord(*found, swapped->found->modRevision);
        }
    }
    if (m_onWritten) {
        m_onWritten();
    }
    co_return true;
}

} // namespace Pollenwind
