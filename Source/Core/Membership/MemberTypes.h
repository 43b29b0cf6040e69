#pragma once

#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Transport/Endpoint.h"

#include <cstdint>
#include <vector>

namespace Pollenwind {

/// State of a VM as this router sees it.
enum class MemberState {
    /// Known by id only; not confirmed to be running.
    Joining,
    Live,
    /// Takes no new work; ends when its running requests have ended.
    Leaving,
    /// Its link was lost. It may have crashed, be paused or be partitioned from this router.
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

/// One incarnation of a VM, with the addresses at which it listens.
struct VmIdentity {
    VmId vm;
    ZoneId zone;
    /// 0 when the VM is known from the platform's list only.
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
    /// True while this router has a link to the VM and so receives its state directly.
    bool isLinked = false;
    /// True when the platform's list, as last read, contains the VM.
    bool isListed = false;
    /// Configuration revision in use there, as last reported; 0 when unknown.
    Revision revision;
};

/// The platform's list of VMs, which lags behind their actual state. Its members are live or leaving.
struct MemberList {
    std::int64_t revision = 0;
    std::vector<Member> members;
};

} // namespace Pollenwind
