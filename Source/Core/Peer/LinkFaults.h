#pragma once

#include "Common/EnumTable.h"
#include "Common/Ids.h"

#include <chrono>

namespace Pollenwind {

/// Injected fault of a peer link.
enum class LinkFault {
    None,
    /// The link is closed and no new one is accepted.
    Cut,
    /// The connection stays open and no frames are sent.
    Silent,
    /// Every frame is delayed.
    Slow,
};

template <> struct EnumTable<LinkFault> {
    static constexpr std::array rows {
        EnumName { LinkFault::None, "none" },
        EnumName { LinkFault::Cut, "cut" },
        EnumName { LinkFault::Silent, "silent" },
        EnumName { LinkFault::Slow, "slow" },
    };
};

/// Fault injection for peer links, used by tests and fault runs.
class LinkFaults {
public:
    LinkFaults() = default;
    LinkFaults(const LinkFaults&) = delete;
    LinkFaults& operator=(const LinkFaults&) = delete;
    virtual ~LinkFaults() = default;

    /// @return The fault of the link between two VMs.
    virtual LinkFault faultBetween(const VmId& sender, const VmId& receiver) const = 0;
    /// @return Delay of each frame on a slow link.
    virtual std::chrono::milliseconds delay() const = 0;
};

/// Links without faults.
class NoLinkFaults final : public LinkFaults {
public:
    LinkFault faultBetween(const VmId&, const VmId&) const override { return LinkFault::None; }
    std::chrono::milliseconds delay() const override { return {}; }
};

} // namespace Pollenwind
