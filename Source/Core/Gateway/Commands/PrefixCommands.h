#pragma once

#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace Pollenwind {

/// A prefix of a prompt and a process that holds it, both as hashes.
struct HeldPrefix {
    std::uint64_t prefix = 0;
    /// Hash of a runner's id and start; see holderHash().
    std::uint64_t holder = 0;

    bool operator==(const HeldPrefix&) const = default;
};

/// Changes what is known about the prefixes that runners hold in their caches.
class PrefixCommands {
public:
    PrefixCommands() = default;
    PrefixCommands(const PrefixCommands&) = delete;
    PrefixCommands& operator=(const PrefixCommands&) = delete;
    virtual ~PrefixCommands() = default;

    /// Notes prefixes that a runner has read for a request of this VM.
    virtual void noteRead(std::span<const HeldPrefix> prefixes) = 0;
    /// Notes prefixes that runners have read for other VMs.
    /// @param isOwnZone The VM is in the own zone, whose news a relay passes on to the other zones.
    virtual void noteRemoteRead(std::span<const HeldPrefix> prefixes, bool isOwnZone) = 0;
};

} // namespace Pollenwind
