#pragma once

#include "Membership/MemberTypes.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace Pollenwind {

/// State of one authenticated link.
struct PeerLinkStatus {
    VmIdentity peer;
    /// True when this router opened it.
    bool isDialed = false;
    /// Negotiated protocol version.
    std::uint16_t version = 0;
    std::chrono::nanoseconds sinceLastFrame { 0 };
    /// Bytes that wait to be sent.
    std::size_t queuedBytes = 0;
};

/// Reads the link table.
class PeerQueries {
public:
    PeerQueries() = default;
    PeerQueries(const PeerQueries&) = delete;
    PeerQueries& operator=(const PeerQueries&) = delete;
    virtual ~PeerQueries() = default;

    /// @return The authenticated links, in order of VM id.
    virtual std::vector<PeerLinkStatus> links() const = 0;
    virtual bool isLinked(const VmId& vm) const = 0;
};

} // namespace Pollenwind
