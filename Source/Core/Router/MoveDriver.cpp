#include "Router/MoveDriver.h"

#include "Common/Digest.h"
#include "Common/Sleep.h"
#include "Router/MoveRecords.h"
#include "Router/StoreKeys.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds driveInterval { 500 };
    constexpr std::chrono::milliseconds evidenceInterval { 2000 };
    constexpr std::chrono::seconds leaseTime { 6 };
    // The holder stops before the store can grant the lease to another one, even when its clock runs slightly slow.
    constexpr std::chrono::seconds leaseSafetyMargin { 1 };
    constexpr std::chrono::milliseconds orderTimeout { 2000 };

    std::string evidencePrefix(const ServiceId& service)
    {
        return std::string(StoreKeys::evidence) + service.value() + "/";
    }

} // namespace

MoveDriver::MoveDriver(MoveDriverContext context)
    : m_context(std::move(context))
{
}

Task<> MoveDriver::driveMoves()
{
    for (;;) {
        // Jitter keeps routers that saw the same record from requesting the lease at the same time.
        co_await sleepFor(driveInterval + std::chrono::milliseconds(randomBits() % 200));
        if (!hasWork() || !co_await holdLease()) {
            continue;
        }
        for (const auto& move : m_context.moveQueries.moves()) {
            co_await driveMove(move);
        }
    }
}

bool MoveDriver::hasWork() const
{
    const auto moves = m_context.moveQueries.moves();
    return std::ranges::any_of(moves, [&](const KnownMove& it) {
        return !isFinal(it.record.state) || !m_context.planner.plan(it.record, viewOf(it.record)).orders.empty();
    });
}

Task<bool> MoveDriver::holdLease()
{
    if (!isLeaseValid()) {
        if (m_fencingToken != 0) {
            m_fencingToken = 0;
            m_context.timeline.record(EventKind::LeaseLost, { { "lease", "moves" } });
        }
        co_return co_await takeLease();
    }
    if (m_context.clock.now() >= m_renewAt) {
        const auto sentAt = m_context.clock.now();
        const auto renewed = co_await m_context.storeCommands.keepAlive(m_lease);
        if (renewed) {
            m_leaseUntil = sentAt + leaseTime - leaseSafetyMargin;
            m_renewAt = sentAt + leaseTime / 3;
        } else if (renewed.error().code == ErrorCode::NotFound) {
            m_leaseUntil = {};
        }
    }
    co_return isLeaseValid();
}

Task<bool> MoveDriver::takeLease()
{
    const auto current = co_await m_context.storeQueries.read(std::string(StoreKeys::moveLease));
    if (!current || !current->entries.empty()) {
        co_return false;
    }
    const auto sentAt = m_context.clock.now();
    const auto lease = co_await m_context.storeCommands.grantLease(leaseTime);
    if (!lease) {
        co_return false;
    }
    const auto taken = co_await m_context.storeCommands.compareAndSwap(
        std::string(StoreKeys::moveLease), 0, m_context.ownVm.value(), *lease);
    if (!taken || !taken->isSwapped) {
        // If the write took effect despite the lost response, revoking the lease erases it.
        co_await m_context.storeCommands.revoke(*lease);
        co_return false;
    }
    m_lease = *lease;
    m_fencingToken = taken->revision;
    m_leaseUntil = sentAt + leaseTime - leaseSafetyMargin;
    m_renewAt = sentAt + leaseTime / 3;
    m_context.timeline.record(
        EventKind::LeaseTaken, { { "lease", "moves" }, { "fencing", std::to_string(m_fencingToken) } });
    co_return true;
}

MoveView MoveDriver::viewOf(const MoveRecord& record) const
{
    MoveView view;
    view.now = m_context.clock.wallNow();
    for (const auto& it : m_context.upstreams.status()) {
        if (it.service == record.service) {
            view.upstreams.push_back({ it.upstream, it.zone, it.state != UpstreamState::Unreachable,
                it.state == UpstreamState::Loading, { it.versions.begin(), it.versions.end() } });
        }
    }
    const auto configuration = m_context.configuration.current();
    const auto& services = configuration->document.services;
    const auto service = services.find(record.service);
    if (service != services.end()) {
        view.concurrentLoads = service->second.concurrentLoads;
        for (const auto& move : m_context.moveQueries.moves()) {
            const auto& needed = service->second.dependsOn;
            const bool isNeeded = std::ranges::find(needed, move.record.service) != needed.end();
            view.isDependencyMoving = view.isDependencyMoving || (isNeeded && !isFinal(move.record.state));
        }
    }
    const auto evidence = m_context.moveQueries.pooledEvidence(record.service);
    view.evaluation = m_context.evaluator.evaluate(evidence);
    view.newRequests = evidence.newRequests();
    return view;
}

Task<> MoveDriver::driveMove(KnownMove move)
{
    if (!isFinal(move.record.state)) {
        co_await collectEvidence(move.record.service);
    }
    const auto plan = m_context.planner.plan(move.record, viewOf(move.record));
    for (const auto& order : plan.orders) {
        co_await sendOrder(order);
    }
    if (plan.next) {
        co_await writeRecord(move, *plan.next);
        if (isFinal(plan.next->state)) {
            co_await eraseEvidence(move.record.service);
        }
    }
}

Task<> MoveDriver::collectEvidence(ServiceId service)
{
    const auto range = co_await m_context.storeQueries.readPrefix(evidencePrefix(service));
    if (!range) {
        co_return;
    }
    for (const auto& entry : range->entries) {
        auto record = decodeEvidenceRecord(entry.value);
        if (record && record->vm != m_context.ownVm) {
            m_context.moveCommands.setPeerEvidence(record->vm, record->move, std::move(record->evidence));
        }
    }
}

Task<> MoveDriver::sendOrder(UpstreamOrder order)
{
    const auto endpoint = m_context.upstreams.endpointOf(order.upstream);
    if (!endpoint || !isLeaseValid()) {
        co_return;
    }
    // A lost or refused order is repeated after the upstream's next report, so the outcome is not needed.
    if (order.kind == UpstreamOrderKind::Load) {
        co_await m_context.orders.load(*endpoint, order.version, m_fencingToken, orderTimeout);
    } else {
        co_await m_context.orders.unload(*endpoint, order.version, m_fencingToken, orderTimeout);
    }
}

Task<> MoveDriver::writeRecord(KnownMove move, MoveRecord next)
{
    if (!isLeaseValid()) {
        co_return;
    }
    const auto key = std::string(StoreKeys::moves) + next.service.value();
    const auto swapped
        = co_await m_context.storeCommands.compareAndSwap(key, move.revision, encodeMoveRecord(next), {});
    // If the response is lost, the watch delivers the record as written.
    if (swapped && swapped->isSwapped) {
        m_context.moveCommands.adopt(swapped->revision, std::move(next));
    }
}

Task<> MoveDriver::publishEvidence()
{
    for (;;) {
        co_await sleepFor(evidenceInterval);
        for (const auto& move : m_context.moveQueries.moves()) {
            if (!isFinal(move.record.state)) {
                co_await writeEvidence(move);
            }
        }
    }
}

Task<> MoveDriver::writeEvidence(KnownMove move)
{
    const auto& service = move.record.service;
    const auto* own = m_context.moveQueries.ownEvidence(service);
    if (!own) {
        co_return;
    }
    auto value = encodeEvidenceRecord({ move.record.id, m_context.ownVm, *own });
    if (value == m_publishedEvidence[service]) {
        co_return;
    }
    const auto key = evidencePrefix(service) + m_context.ownVm.value();
    const auto swapped = co_await m_context.storeCommands.compareAndSwap(key, m_evidenceRevisions[service], value, {});
    if (!swapped) {
        co_return;
    }
    if (swapped->isSwapped) {
        m_evidenceRevisions[service] = swapped->revision;
        m_publishedEvidence[service] = std::move(value);
    } else {
        // Written by an earlier incarnation of this VM or by a write whose response was lost, or erased with an earlier
        // move.
        m_evidenceRevisions[service] = swapped->found ? swapped->found->modRevision : 0;
    }
}

Task<> MoveDriver::eraseEvidence(ServiceId service)
{
    const auto range = co_await m_context.storeQueries.readPrefix(evidencePrefix(service));
    if (!range) {
        co_return;
    }
    for (const auto& entry : range->entries) {
        co_await m_context.storeCommands.compareAndErase(entry.key, entry.modRevision);
    }
}

} // namespace Pollenwind
