#pragma once

#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Transport/Endpoint.h"

#include <cstdint>
#include <vector>

namespace Pollenwind {

/// State of a VM as this router sees it.
enum class MemberState {
    /// Known by name only; this router has not heard that it runs.
    Joining,
    Live,
    /// Takes no new work; ends when its running requests have ended.
    Leaving,
    /// Its link broke. It may be dead, paused or cut off.
    Suspected,
    Gone,
};

template <> struct EnumTable<MemberState> {
    static constexpr std::array rows {
        EnumName { MemberState::Joining, "joining" },
        EnumName { MemberState::Live, "live" },
        EnumName { MemberState::Leaving, "leaving" },
        EnumName { MemberState::Suspected, "suspected" },
        EnumName { MemberState::Gone, "gone" },
    };
};

/// One life of a VM: who it is and where it listens.
struct VmIdentity {
    VmId vm;
    ZoneId zone;
    /// 0 when only the platform's list named the VM.
    Incarnation incarnation;
    /// Wall time of the process start in microseconds. Of two incarnations the later one counts.
    std::int64_t startedAtMicroseconds = 0;
    Endpoint peers;
    Endpoint admin;
};

/// One VM of the fleet.
struct Member {
    VmIdentity identity;
    MemberState state = MemberState::Joining;
    /// True while this router has a link to the VM and so knows its state at first hand.
    bool isLinked = false;
    /// True when the platform's list showed the VM the last time it was read.
    bool isListed = false;
    /// Configuration revision in force there, as last heard; 0 when unknown.
    Revision revision;
};

/// The platform's list of VMs. It lags. Its members are live or leaving.
struct MemberList {
    std::int64_t revision = 0;
    std::vector<Member> members;
};

} // namespace Pollenwind
