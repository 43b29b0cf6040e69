#pragma once

#include "Common/EnumTable.h"
#include "Common/HybridClock.h"

#include <string>
#include <utility>
#include <vector>

namespace Pollenwind {

/// Kind of a state change. The names appear in logs and in the `pollenwindctl timeline` output.
enum class EventKind {
    ProcessStarted,
    ProcessStopping,
    ProcessStopped,
    ConfigurationAdopted,
    ConfigurationRejected,
    KeyGiven,
    KeyWithdrawn,
    KeysConfirmed,
    KeysUnconfirmed,
    MemberJoined,
    MemberLeaving,
    MemberSuspected,
    MemberGone,
    PeerLinkUp,
    PeerLinkDown,
    ShareTaken,
    ShareReleased,
    BreakerOpened,
    BreakerHalfOpen,
    BreakerClosed,
    UpstreamIncarnation,
    UpstreamLeaving,
    /// An upstream refused a request and named a time for which it wants no others.
    UpstreamBackOff,
    StoreDown,
    StoreUp,
    /// The store came back from an older copy.
    StoreRestored,
    /// The records that were read are older than the local ones and are not used.
    StoreReadRejected,
    /// The VM learns of changes in the store from another feed: the store or a VM that follows it.
    FeedChanged,
    FeedLost,
    MoveOrdered,
    MoveStep,
    MoveDone,
    MoveRolledBack,
    LeaseTaken,
    /// The holder of a lease has learned of orders of another VM that are newer than the state it knew.
    LeaseDelayed,
    LeaseLost,
    /// A part of a prompt was lost in a crash of a runner.
    PartSuspected,
    PartQuarantined,
    /// A request with a quarantined part is let through.
    PartTried,
    PartLifted,
    /// The operator has taken a zone out of service.
    EvacuationStarted,
    /// No request of this VM runs at the runners of an evacuated zone any more.
    EvacuationCompleted,
    EvacuationEnded,
};

template <> struct EnumTable<EventKind> {
    static constexpr std::array rows {
        EnumName { EventKind::ProcessStarted, "process-started" },
        EnumName { EventKind::ProcessStopping, "process-stopping" },
        EnumName { EventKind::ProcessStopped, "process-stopped" },
        EnumName { EventKind::ConfigurationAdopted, "configuration-adopted" },
        EnumName { EventKind::ConfigurationRejected, "configuration-rejected" },
        EnumName { EventKind::KeyGiven, "key-given" },
        EnumName { EventKind::KeyWithdrawn, "key-withdrawn" },
        EnumName { EventKind::KeysConfirmed, "keys-confirmed" },
        EnumName { EventKind::KeysUnconfirmed, "keys-unconfirmed" },
        EnumName { EventKind::MemberJoined, "member-joined" },
        EnumName { EventKind::MemberLeaving, "member-leaving" },
        EnumName { EventKind::MemberSuspected, "member-suspected" },
        EnumName { EventKind::MemberGone, "member-gone" },
        EnumName { EventKind::PeerLinkUp, "peer-link-up" },
        EnumName { EventKind::PeerLinkDown, "peer-link-down" },
        EnumName { EventKind::ShareTaken, "share-taken" },
        EnumName { EventKind::ShareReleased, "share-released" },
        EnumName { EventKind::BreakerOpened, "breaker-opened" },
        EnumName { EventKind::BreakerHalfOpen, "breaker-half-open" },
        EnumName { EventKind::BreakerClosed, "breaker-closed" },
        EnumName { EventKind::UpstreamIncarnation, "upstream-incarnation" },
        EnumName { EventKind::UpstreamLeaving, "upstream-leaving" },
        EnumName { EventKind::UpstreamBackOff, "upstream-back-off" },
        EnumName { EventKind::StoreDown, "store-down" },
        EnumName { EventKind::StoreUp, "store-up" },
        EnumName { EventKind::StoreRestored, "store-restored" },
        EnumName { EventKind::StoreReadRejected, "store-read-rejected" },
        EnumName { EventKind::FeedChanged, "feed-changed" },
        EnumName { EventKind::FeedLost, "feed-lost" },
        EnumName { EventKind::MoveOrdered, "move-ordered" },
        EnumName { EventKind::MoveStep, "move-step" },
        EnumName { EventKind::MoveDone, "move-done" },
        EnumName { EventKind::MoveRolledBack, "move-taken-back" },
        EnumName { EventKind::LeaseTaken, "lease-taken" },
        EnumName { EventKind::LeaseDelayed, "lease-delayed" },
        EnumName { EventKind::LeaseLost, "lease-lost" },
        EnumName { EventKind::PartSuspected, "part-suspected" },
        EnumName { EventKind::PartQuarantined, "part-quarantined" },
        EnumName { EventKind::PartTried, "part-tried" },
        EnumName { EventKind::PartLifted, "part-lifted" },
        EnumName { EventKind::EvacuationStarted, "evacuation-started" },
        EnumName { EventKind::EvacuationCompleted, "evacuation-completed" },
        EnumName { EventKind::EvacuationEnded, "evacuation-ended" },
    };
};

/// Fields of an event in order of appearance.
using EventFields = std::vector<std::pair<std::string, std::string>>;

/// One state change.
struct TimelineEvent {
    HybridTime time;
    /// Process that recorded the event: VM id and incarnation.
    std::string process;
    EventKind kind = EventKind::ProcessStarted;
    EventFields fields;
};

} // namespace Pollenwind
