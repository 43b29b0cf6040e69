#pragma once

#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace Pollenwind {

/// A prefix of a prompt and a process that holds it, both as hashes.
struct CachedPrefix {
    std::uint64_t prefix = 0;
    /// Hash of a runner's id and start; see holderHash().
    std::uint64_t holder = 0;

    bool operator==(const CachedPrefix&) const = default;
};

/// Changes what is known about the prefixes that runners hold in their caches.
class PrefixCommands {
public:
    PrefixCommands() = default;
    PrefixCommands(const PrefixCommands&) = delete;
    PrefixCommands& operator=(const PrefixCommands&) = delete;
    virtual ~PrefixCommands() = default;

    /// Notes prefixes that a runner has read for a request of this VM.
    virtual void recordRead(std::span<const CachedPrefix> prefixes) = 0;
    /// Notes prefixes that runners have read for other VMs.
    /// @param isOwnZone The VM is in the own zone, whose news a relay passes on to the other zones.
    virtual void recordRemoteRead(std::span<const CachedPrefix> prefixes, bool isOwnZone) = 0;
};

} // namespace Pollenwind
