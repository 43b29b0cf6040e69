#pragma once

#include "Config/Queries/ConfigurationQueries.h"
#include "Keys/Commands/KeyCommands.h"
#include "Keys/Queries/KeyDigestQueries.h"
#include "Keys/Queries/KeyQueries.h"
#include "Membership/Queries/MembershipQueries.h"
#include "Peer/Commands/PeerCommands.h"
#include "Peer/Queries/PeerQueries.h"
#include "Router/Commands/WithdrawalCommands.h"
#include "Router/WithdrawalRepair.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>
#include <vector>

namespace Pollenwind {

/// Dependencies of KeyPropagator. All references must outlive it.
struct KeyPropagatorContext {
    asio::any_io_executor executor;
    const Clock& clock;
    VmId vm;
    ZoneId zone;
    const ConfigurationQueries& configuration;
    KeyCommands& table;
    const KeyQueries& keys;
    const KeyDigestQueries& digest;
    const MembershipQueries& members;
    WithdrawalRepair& repair;
};

/// Forwards key records to other routers. It wraps the key table, so that every new record is forwarded, whether it
/// comes from the store, an operator or a peer.
class KeyPropagator final : public KeyCommands, public WithdrawalCommands {
public:
    KeyPropagator(KeyPropagatorContext context, PeerCommands& peers, const PeerQueries& links);

    bool merge(const KeyRecord& record) override;
    void confirm(MonotonicTime at) override { m_context.table.confirm(at); }
    Task<PropagationReport> propagateWithdrawal(KeyRecord record) override;

    void receiveNotice(const VmId& from, const KeyNotice& notice);
    void receiveAck(const VmId& from, const KeyAck& ack);
    /// Sends the whole table.
    void receiveTableRequest(const VmId& from);

    /// Compares the key tables, and requests the peer's table when they keep differing.
    /// @return True when this table contains everything that the peer's contained when it sent the heartbeat.
    bool covers(const VmId& peer, std::uint64_t peerDigest);
    void forgetPeer(const VmId& peer) { m_peerTables.erase(peer); }

    /// Sends the valid keys received since the last call.
    void flush();

private:
    struct PeerTable {
        /// Digest of the peer's table when it was last received completely.
        std::uint64_t coveredDigest = 0;
        std::uint64_t differingDigest = 0;
        MonotonicTime requestedAt { 0 };
        bool wasRequested = false;
    };
    struct PendingWithdrawal {
        std::set<VmId> acked;
        asio::steady_timer* timer = nullptr;
    };

    Task<> sendOnDemand(Member member, KeyNotice notice);
    bool isComplete(const std::set<VmId>& acked) const;
    PropagationReport makeReport(const std::set<VmId>& acked) const;

    KeyPropagatorContext m_context;
    PeerCommands& m_peers;
    const PeerQueries& m_links;
    std::vector<KeyRecord> m_batch;
    std::map<VmId, PeerTable> m_peerTables;
    std::map<std::uint64_t, PendingWithdrawal> m_pendingWithdrawals;
};

} // namespace Pollenwind
