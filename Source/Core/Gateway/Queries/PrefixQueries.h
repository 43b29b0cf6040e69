#pragma once

#include "Gateway/ForwardTypes.h"
#include "Gateway/RunnerTypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Pollenwind {

/// A prefix that other requests share.
struct SharedPrefix {
    std::uint64_t hash = 0;
    /// Tokens from the start of the prompt.
    double tokens = 0;
};

/// Reads what is known about the prefixes that runners hold in their caches.
class PrefixQueries {
public:
    PrefixQueries() = default;
    PrefixQueries(const PrefixQueries&) = delete;
    PrefixQueries& operator=(const PrefixQueries&) = delete;
    virtual ~PrefixQueries() = default;

    /// Tells whether a process is believed to hold a prefix.
    virtual bool isCached(std::uint64_t prefix, std::uint64_t holder) const = 0;

    /// Processes that are believed to hold a prefix.
    virtual std::vector<std::uint64_t> holdersOf(std::uint64_t prefix) const = 0;
};

/// Hash of a runner's process: a restart holds nothing of before.
std::uint64_t holderHash(const UpstreamId& runner, Incarnation incarnation);

/// Hash of a store of cache entries, in the place of a holder's.
std::uint64_t storeHash(const Endpoint& endpoint);

/// Prefixes of a request that other requests share, the shortest first. The last part of the prompt is the request's
/// own. Prefixes of other weights or of another isolated organisation have other hashes.
std::vector<SharedPrefix> sharedPrefixes(
    const ForwardRequest& request, const std::string& cacheSalt, WeightsVersion weights);

} // namespace Pollenwind
