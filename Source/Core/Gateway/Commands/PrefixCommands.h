#pragma once

#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace Pollenwind {

/// A prompt prefix and the runner process or cache store that has it cached, both as hashes.
struct CachedPrefix {
    std::uint64_t prefix = 0;
    /// Hash of a runner's process or of a store; see holderHash() and storeHash().
    std::uint64_t holder = 0;
    /// Tokens by which the prefix is longer than the one that it extends; 0 if that is not known, as in the reports of
    /// other VMs.
    double ownTokens = 0;

    bool operator==(const CachedPrefix&) const = default;
};

/// Updates the directory of the prompt prefixes that runners and stores have cached.
class PrefixCommands {
public:
    PrefixCommands() = default;
    PrefixCommands(const PrefixCommands&) = delete;
    PrefixCommands& operator=(const PrefixCommands&) = delete;
    virtual ~PrefixCommands() = default;

    /// Records prefixes that a runner has processed for a request of this VM, and the store to which it saved them, if
    /// any.
    virtual void recordRead(std::span<const CachedPrefix> prefixes) = 0;
    /// Records prefixes that another VM reported.
    /// @param isOwnZone Whether that VM is in this VM's zone; the relay of a zone forwards its updates to the others.
    virtual void recordRemoteRead(std::span<const CachedPrefix> prefixes, bool isOwnZone) = 0;
};

} // namespace Pollenwind
