#pragma once

#include "Config/Commands/ConfigurationCommands.h"
#include "Config/Queries/ConfigurationQueries.h"
#include "Keys/Queries/KeyDigestQueries.h"
#include "Keys/Queries/KeyQueries.h"
#include "Limits/Commands/GrantLender.h"
#include "Membership/Commands/MembershipCommands.h"
#include "Membership/Queries/MembershipQueries.h"
#include "Peer/GrantExchange.h"
#include "Peer/PeerHandler.h"
#include "Router/KeyConfirmation.h"
#include "Router/KeyPropagator.h"
#include "Store/Commands/VmListCommands.h"
#include "Store/Queries/StoreQueries.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <optional>

namespace Pollenwind {

/// Dependencies of FleetSync. All references must outlive it.
struct FleetSyncContext {
    const Clock& clock;
    ConfigurationCommands& configurationCommands;
    const ConfigurationQueries& configuration;
    const KeyQueries& keys;
    const KeyDigestQueries& keyDigest;
    MembershipCommands& membershipCommands;
    const MembershipQueries& members;
    KeyPropagator& keyPropagator;
    KeyConfirmation& confirmation;
    GrantExchange& grants;
    GrantLender& lender;
    StoreQueries& store;
    VmListCommands& vmList;
    TimelineCommands& timeline;
    PeerCommands& peers;
    const PeerQueries& links;
};

/// Settings of FleetSync.
struct FleetSyncOptions {
    std::vector<Endpoint> seedPeers;
    /// Upper bound of the random delay before the first store call.
    std::chrono::milliseconds startJitter { 1000 };
};

/// Synchronises this router with the others: handles peer messages, chooses peers, and keeps this VM in the platform's
/// list.
class FleetSync final : public PeerHandler {
public:
    FleetSync(FleetSyncContext context, FleetSyncOptions options);

    /// Sets this VM's identity. Must be called before any task starts.
    void setIdentity(VmIdentity identity) { m_self = std::move(identity); }

    /// Chooses peers and sends batched key records, until the process ends.
    Task<> maintainPeers();
    /// Registers this VM and polls the platform's list, until the process ends.
    Task<> followList();

    /// Announces to the peers that this VM is leaving, then writes it to the platform's list, with retries until the
    /// write succeeds.
    Task<> leave();

    bool onLinkUp(const VmIdentity& peer) override;
    void onLinkDown(const VmIdentity& peer) override;
    PeerHeartbeat makeHeartbeat() override;
    void receive(const VmIdentity& peer, const PeerMessage& message) override;

private:
    void receiveHeartbeat(const VmIdentity& peer, const PeerHeartbeat& heartbeat);
    void requestConfiguration(const VmId& peer, Revision revision);
    void receiveMembership(const VmId& from, const MembershipUpdate& update);
    void sendMembership(const VmId& peer);
    void choosePeerTargets();
    Task<bool> registerVm();
    bool isListed(const VmList& list) const;

    FleetSyncContext m_context;
    FleetSyncOptions m_options;
    VmIdentity m_self;
    Revision m_requestedRevision;
    MonotonicTime m_requestedAt { 0 };
    bool m_isLeaving = false;
};

} // namespace Pollenwind
