#include "Router/FleetSync.h"

#include "Common/Digest.h"
#include "Common/Sleep.h"
#include "Membership/Queries/PeerChoice.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds chooseInterval { 100 };
    // 380 routers then read the list 76 times a second, 4% of the store's read rate.
    constexpr std::chrono::milliseconds listInterval { 5000 };
    constexpr std::chrono::milliseconds retryInterval { 1000 };
    // The record is at most 1 MB; a peer that has not sent it by then is slow or gone, and another one may be asked.
    constexpr std::chrono::seconds configurationTimeout { 1 };

    std::chrono::milliseconds jittered(std::chrono::milliseconds base)
    {
        const auto half = static_cast<std::uint64_t>(base.count() / 2 + 1);
        return base * 3 / 4 + std::chrono::milliseconds(randomBits() % half);
    }

    MemberList toMemberList(const VmList& list)
    {
        MemberList members { list.revision, {} };
        for (const auto& it : list.vms) {
            Member member;
            member.identity = { it.vm, it.zone, {}, 0, it.peers, it.admin };
            member.state = it.state == ListedVmState::Leaving ? MemberState::Leaving : MemberState::Live;
            members.members.push_back(std::move(member));
        }
        return members;
    }

} // namespace

FleetSync::FleetSync(FleetSyncContext context, FleetSyncOptions options)
    : m_context(context)
    , m_options(std::move(options))
{
}

Task<> FleetSync::maintainPeers()
{
    for (;;) {
        choosePeerTargets();
        m_context.keyPropagator.flush();
        co_await sleepFor(chooseInterval);
    }
}

void FleetSync::choosePeerTargets()
{
    const auto members = m_context.members.members();
    std::vector<Endpoint> targets;
    for (const auto& it : choosePeers(m_self.vm, m_self.zone, members)) {
        targets.push_back(it.identity.peers);
    }
    // Seed peers are needed only until the first link is up; after that they would add links that were not chosen.
    if (m_context.links.links().empty()) {
        targets.insert(targets.end(), m_options.seedPeers.begin(), m_options.seedPeers.end());
    }
    m_context.peers.setTargets(targets);
}

Task<> FleetSync::followList()
{
    co_await sleepFor(
        std::chrono::milliseconds(randomBits() % static_cast<std::uint64_t>(m_options.startJitter.count() + 1)));
    bool isRegistered = false;
    for (;;) {
        if (!isRegistered && !m_isLeaving) {
            isRegistered = co_await registerVm();
        }
        const auto list = co_await m_context.store.listVms();
        if (list) {
            m_context.membershipCommands.updateList(toMemberList(*list));
            isRegistered = isRegistered && isListed(*list);
        }
        co_await sleepFor(jittered(list && isRegistered ? listInterval : retryInterval));
    }
}

bool FleetSync::isListed(const VmList& list) const
{
    return std::ranges::any_of(list.vms, [this](const ListedVm& it) { return it.vm == m_self.vm; });
}

Task<bool> FleetSync::registerVm()
{
    const auto done = co_await m_context.vmList.setListedVm({ m_self.vm, m_self.zone, m_self.peers, m_self.admin,
        m_isLeaving ? ListedVmState::Leaving : ListedVmState::Live });
    co_return done.has_value();
}

Task<> FleetSync::leave()
{
    m_isLeaving = true;
    m_context.peers.broadcast(makeHeartbeat(), std::nullopt);
    while (!co_await registerVm()) {
        co_await sleepFor(jittered(retryInterval));
    }
}

bool FleetSync::onLinkUp(const VmIdentity& peer)
{
    const bool isNewIncarnation = [&] {
        const auto known = m_context.members.find(peer.vm);
        return !known || known->identity.incarnation != peer.incarnation;
    }();
    if (!m_context.membershipCommands.onLinkUp(peer)) {
        return false;
    }
    if (isNewIncarnation) {
        m_context.keyPropagator.forgetPeer(peer.vm);
        MembershipUpdate update;
        update.members.push_back(*m_context.members.find(peer.vm));
        m_context.peers.broadcast(update, peer.vm);
    }
    return true;
}

void FleetSync::onLinkDown(const VmIdentity& peer)
{
    m_context.membershipCommands.onLinkDown(peer.vm, peer.incarnation);
    m_context.keyPropagator.forgetPeer(peer.vm);
}

PeerHeartbeat FleetSync::makeHeartbeat()
{
    PeerHeartbeat heartbeat;
    heartbeat.incarnation = m_self.incarnation;
    heartbeat.revision = m_context.configuration.current()->revision;
    heartbeat.keyDigest = m_context.keyDigest.tableDigest();
    heartbeat.keyAge = std::chrono::ceil<std::chrono::milliseconds>(m_context.keys.confirmationAge());
    heartbeat.zoneAges = m_context.confirmation.zoneAges();
    heartbeat.isLeaving = m_isLeaving;
    heartbeat.time = m_context.timeline.stamp();
    return heartbeat;
}

void FleetSync::receive(const VmIdentity& peer, const PeerMessage& message)
{
    if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&message)) {
        receiveHeartbeat(peer, *heartbeat);
    } else if (const auto* request = std::get_if<ConfigurationRequest>(&message)) {
        const auto current = m_context.configuration.current();
        if (current->revision > request->above) {
            m_context.peers.send(peer.vm, ConfigurationReply { current->revision, current->text });
        }
    } else if (const auto* reply = std::get_if<ConfigurationReply>(&message)) {
        m_requestedAt = MonotonicTime { 0 };
        m_context.configurationCommands.adopt(reply->revision, reply->document);
    } else if (const auto* notice = std::get_if<KeyNotice>(&message)) {
        m_context.keyPropagator.receiveNotice(peer.vm, *notice);
    } else if (const auto* ack = std::get_if<KeyAck>(&message)) {
        m_context.keyPropagator.receiveAck(peer.vm, *ack);
    } else if (std::holds_alternative<KeyTableRequest>(message)) {
        m_context.keyPropagator.receiveTableRequest(peer.vm);
    } else if (const auto* update = std::get_if<MembershipUpdate>(&message)) {
        receiveMembership(peer.vm, *update);
    } else if (const auto* grant = std::get_if<PeerGrantRequest>(&message)) {
        m_context.grants.receiveRequest(m_context.lender, peer.vm, *grant);
    } else if (const auto* granted = std::get_if<PeerGrantReply>(&message)) {
        m_context.grants.receiveReply(peer.vm, *granted);
    } else if (const auto* settle = std::get_if<PeerGrantSettle>(&message)) {
        m_context.lender.settle(peer.vm, settle->settlement);
    }
}

void FleetSync::receiveHeartbeat(const VmIdentity& peer, const PeerHeartbeat& heartbeat)
{
    m_context.timeline.observe(heartbeat.time);
    if (heartbeat.incarnation != peer.incarnation) {
        return;
    }
    const bool isChanged
        = m_context.membershipCommands.onHeartbeat(peer.vm, peer.incarnation, heartbeat.revision, heartbeat.isLeaving);
    if (isChanged) {
        MembershipUpdate update;
        update.members.push_back(*m_context.members.find(peer.vm));
        m_context.peers.broadcast(update, peer.vm);
    }
    if (heartbeat.echo == 0) {
        // The first heartbeat on a link echoes none of this router's yet, so it proves no time. The peer does not have
        // this router's view of the members yet.
        sendMembership(peer.vm);
    }
    requestConfiguration(peer.vm, heartbeat.revision);
    const MonotonicTime provenAt { heartbeat.echo };
    if (m_context.keyPropagator.covers(peer.vm, heartbeat.keyDigest) && heartbeat.echo > 0
        && provenAt <= m_context.clock.now()) {
        m_context.confirmation.onHeartbeat(peer.zone, provenAt, heartbeat);
    }
}

void FleetSync::requestConfiguration(const VmId& peer, Revision revision)
{
    const auto now = m_context.clock.now();
    const bool isPending = m_requestedRevision >= revision && now - m_requestedAt < configurationTimeout;
    if (revision > m_context.configuration.current()->revision && !isPending) {
        m_requestedRevision = revision;
        m_requestedAt = now;
        m_context.peers.send(peer, ConfigurationRequest { m_context.configuration.current()->revision });
    }
}

void FleetSync::receiveMembership(const VmId& from, const MembershipUpdate& update)
{
    MembershipUpdate changes;
    for (const auto& member : update.members) {
        if (m_context.membershipCommands.onPeerReport(member)) {
            changes.members.push_back(member);
        }
    }
    if (!changes.members.empty()) {
        m_context.peers.broadcast(changes, from);
    }
}

void FleetSync::sendMembership(const VmId& peer)
{
    MembershipUpdate update;
    update.members = m_context.members.members();
    std::erase_if(update.members, [&](const Member& it) {
        return it.identity.vm == peer || it.identity.incarnation.value() == 0 || it.state == MemberState::Gone;
    });
    if (!update.members.empty()) {
        m_context.peers.send(peer, update);
    }
}

} // namespace Pollenwind
