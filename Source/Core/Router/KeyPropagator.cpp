#include "Router/KeyPropagator.h"

#include "Common/Digest.h"
#include "Common/TaskFault.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // A record takes about 80 bytes, so a frame stays well below the limit of 4 MB.
    constexpr std::size_t recordsPerNotice = 10'000;
    // Twice the round trip of a table at the size limit; heartbeats in between trigger no second request.
    constexpr std::chrono::seconds requestInterval { 2 };
    // Covers a new link, which takes up to half a second to connect, and the response over it.
    constexpr std::chrono::milliseconds ackTimeout { 1500 };

    /// @return Whether a VM can be expected to respond.
    bool isExpectedToRespond(const Member& member)
    {
        return member.state != MemberState::Gone && member.state != MemberState::Suspected;
    }

} // namespace

KeyPropagator::KeyPropagator(KeyPropagatorContext context, PeerCommands& peers, const PeerQueries& links)
    : m_context(std::move(context))
    , m_peers(peers)
    , m_links(links)
{
}

bool KeyPropagator::merge(const KeyRecord& record)
{
    const bool isChanged = m_context.table.merge(record);
    if (isChanged && record.state == KeyState::Withdrawn) {
        m_peers.broadcast(KeyNotice { 0, { record } }, std::nullopt);
    } else if (isChanged) {
        m_batch.push_back(record);
    }
    return isChanged;
}

void KeyPropagator::flush()
{
    for (std::size_t i = 0; i < m_batch.size(); i += recordsPerNotice) {
        const auto end = std::min(i + recordsPerNotice, m_batch.size());
        m_peers.broadcast(KeyNotice { 0,
                              { m_batch.begin() + static_cast<std::ptrdiff_t>(i),
                                  m_batch.begin() + static_cast<std::ptrdiff_t>(end) } },
            std::nullopt);
    }
    m_batch.clear();
}

void KeyPropagator::receiveNotice(const VmId& from, const KeyNotice& notice)
{
    KeyNotice changes;
    for (const auto& record : notice.keys) {
        if (m_context.table.merge(record)) {
            changes.keys.push_back(record);
            if (record.state == KeyState::Withdrawn) {
                m_context.repair.addUnstored(record.digest);
            }
        }
    }
    if (!changes.keys.empty()) {
        m_peers.broadcast(changes, from);
    }
    if (notice.isTableComplete) {
        m_peerTables[from].coveredDigest = notice.coveredDigest;
    }
    if (notice.notice != 0) {
        m_peers.send(from, KeyAck { notice.notice });
    }
}

void KeyPropagator::receiveTableRequest(const VmId& from)
{
    const auto records = m_context.keys.records();
    std::size_t sent = 0;
    do {
        const auto end = std::min(sent + recordsPerNotice, records.size());
        KeyNotice notice;
        notice.keys.assign(
            records.begin() + static_cast<std::ptrdiff_t>(sent), records.begin() + static_cast<std::ptrdiff_t>(end));
        notice.isTableComplete = end == records.size();
        notice.coveredDigest = m_context.digest.tableDigest();
        m_peers.send(from, notice);
        sent = end;
    } while (sent < records.size());
}

bool KeyPropagator::covers(const VmId& peer, std::uint64_t peerDigest)
{
    auto& table = m_peerTables[peer];
    if (peerDigest == m_context.digest.tableDigest() || (table.wasRequested && peerDigest == table.coveredDigest)) {
        table.differingDigest = 0;
        return true;
    }
    // A notice that is in transit resolves most differences before the next heartbeat.
    const bool isPersistent = table.differingDigest != 0 || !table.wasRequested;
    const auto now = m_context.clock.now();
    table.differingDigest = peerDigest;
    if (isPersistent && (!table.wasRequested || now - table.requestedAt > requestInterval)) {
        table.wasRequested = true;
        table.requestedAt = now;
        m_peers.send(peer, KeyTableRequest {});
    }
    return false;
}

void KeyPropagator::receiveAck(const VmId& from, const KeyAck& ack)
{
    const auto it = m_pendingWithdrawals.find(ack.notice);
    if (it != m_pendingWithdrawals.end()) {
        it->second.acked.insert(from);
        if (isComplete(it->second.acked)) {
            it->second.timer->cancel();
        }
    }
}

Task<PropagationReport> KeyPropagator::propagateWithdrawal(KeyRecord record)
{
    if (m_context.table.merge(record)) {
        m_context.repair.addUnstored(record.digest);
    }
    const auto id = randomBits() | 1U;
    asio::steady_timer timer(m_context.executor, ackTimeout);
    m_pendingWithdrawals[id].timer = &timer;
    const KeyNotice notice { id, { record } };
    m_peers.broadcast(notice, std::nullopt);
    for (const auto& it : m_context.members.members()) {
        if (isExpectedToRespond(it) && !m_links.isLinked(it.identity.vm)) {
            spawnTask(m_context.executor, TaskKind::PeerCall, sendOnDemand(it, notice));
        }
    }
    if (!isComplete({})) {
        co_await timer.async_wait(asTuple);
    }
    const auto report = makeReport(m_pendingWithdrawals[id].acked);
    m_pendingWithdrawals.erase(id);
    co_return report;
}

Task<> KeyPropagator::sendOnDemand(Member member, KeyNotice notice)
{
    const auto& identity = member.identity;
    if (co_await m_peers.openLink(identity.vm, identity.peers, ackTimeout)) {
        m_peers.send(identity.vm, notice);
    }
}

bool KeyPropagator::isComplete(const std::set<VmId>& acked) const
{
    return std::ranges::all_of(m_context.members.members(),
        [&](const Member& it) { return acked.contains(it.identity.vm) || !isExpectedToRespond(it); });
}

PropagationReport KeyPropagator::makeReport(const std::set<VmId>& acked) const
{
    PropagationReport report { 1, 1, {}, false };
    std::set<ZoneId> reached { m_context.zone };
    std::set<ZoneId> missed;
    for (const auto& it : m_context.members.members()) {
        if (it.state == MemberState::Gone) {
            continue;
        }
        ++report.members;
        if (acked.contains(it.identity.vm)) {
            ++report.inForce;
            reached.insert(it.identity.zone);
        } else {
            report.notReached.push_back(it.identity.vm);
            if (isExpectedToRespond(it)) {
                missed.insert(it.identity.zone);
            }
        }
    }
    const auto configuration = m_context.configuration.current();
    const auto& zones = configuration->document.zones;
    const auto n = std::ranges::count_if(
        zones, [&](const ZoneId& zone) { return reached.contains(zone) && !missed.contains(zone); });
    report.hasZoneMajority = static_cast<std::size_t>(n) > zones.size() / 2;
    return report;
}

} // namespace Pollenwind
