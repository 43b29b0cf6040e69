#include "Gateway/RolloutDriver.h"

#include "Common/Sleep.h"
#include "Gateway/RolloutRecords.h"

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds checkInterval { 100 };
    // A watch without changes is answered after up to 2.2 s, so an age below this limit does not show that the store is
    // out of reach.
    constexpr std::chrono::milliseconds freshnessLimit { 3200 };
    // Pause after a failed write, since failed calls count against the store's limit too.
    constexpr std::chrono::milliseconds retryPause { 200 };

} // namespace

Task<> RolloutDriver::run()
{
    for (;;) {
        co_await sleepFor(checkInterval);
        m_context.rolloutCommands.refresh(m_context.freshness.age() < freshnessLimit, m_context.fleet.size());
        if (!m_context.lease.isHeld()) {
            continue;
        }
        for (auto& change : m_context.rollouts.dueChanges()) {
            if (!co_await write(std::move(change))) {
                co_await sleepFor(retryPause);
                break;
            }
        }
    }
}

Task<bool> RolloutDriver::write(RolloutChange change)
{
    auto& record = change.record;
    record.vm = m_vm;
    record.token = m_context.lease.fencingToken();
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
