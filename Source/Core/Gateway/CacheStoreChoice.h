#pragma once

#include "Gateway/GatewaySettings.h"
#include "Gateway/RoutingTypes.h"

#include <cstdint>
#include <span>

namespace Pollenwind {

/// Decides which cache store keeps the shared parts of a prompt: the one in the zone of its runner or, while the parts
/// in use do not fit into one store, the one that a rendezvous hash of the prompt names.
///
/// Load pattern that it answers: many long shared prefixes. By zone, each store would need all of them and evicts those
/// that are still in use; by prefix, the stores together hold each once.
///
/// The hash is that of the last shared part. A runner saves all shared parts of a prompt to one store, so one fetch
/// finds the whole chain there. Parts that several prompts begin with are kept in several stores, which needs less room
/// than an uneven distribution by the first part, since many prompts begin alike.
class CacheStoreChoice {
public:
    /// Share of a store's capacity from which on the parts in use are distributed over the stores. Stores also hold
    /// parts that are no longer in use.
    static constexpr double fullShare = 0.8;
    /// Share below which they are kept by zone again. The distance prevents a change with each small difference in
    /// load, as each change makes parts be copied to other stores.
    static constexpr double roomyShare = 0.6;

    explicit CacheStoreChoice(CacheStorePlacement placement = CacheStorePlacement::Zone)
        : m_placement(placement)
        , m_isByPrefix(placement == CacheStorePlacement::Prefix)
    {
    }

    /// Decides anew, in the housekeeping task. Without a capacity of each store, `auto` stays by zone.
    /// @param sharedTokens Estimate of the distinct shared tokens in use.
    /// @return Whether the decision has changed.
    bool update(double sharedTokens, std::span<const CacheStore> stores);

    bool isByPrefix() const { return m_isByPrefix; }

    /// @param stores Stores of the configuration in force; not empty.
    /// @param zone Zone of the runner.
    /// @param lastPart Id of the last shared part of the prompt.
    const CacheStore& choose(std::span<const CacheStore> stores, const ZoneId& zone, std::uint64_t lastPart) const;

private:
    CacheStorePlacement m_placement;
    bool m_isByPrefix;
};

} // namespace Pollenwind
