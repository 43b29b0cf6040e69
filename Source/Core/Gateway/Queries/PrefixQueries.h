#pragma once

#include "Gateway/ForwardTypes.h"
#include "Gateway/RunnerTypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Pollenwind {

/// A prompt prefix that other requests share.
struct SharedPrefix {
    std::uint64_t hash = 0;
    /// Length in tokens from the start of the prompt.
    double tokens = 0;
};

/// Reads the directory of the prompt prefixes that runners and stores have cached.
class PrefixQueries {
public:
    PrefixQueries() = default;
    PrefixQueries(const PrefixQueries&) = delete;
    PrefixQueries& operator=(const PrefixQueries&) = delete;
    virtual ~PrefixQueries() = default;

    /// Whether a runner process or a store is expected to have a prefix cached.
    virtual bool isCached(std::uint64_t prefix, std::uint64_t holder) const = 0;

    /// Hashes of the runner processes and stores that are expected to have a prefix cached.
    virtual std::vector<std::uint64_t> holdersOf(std::uint64_t prefix) const = 0;
};

/// Hash of one incarnation of a runner, whose cache is lost when it restarts.
std::uint64_t holderHash(const UpstreamId& runner, Incarnation incarnation);
inline std::uint64_t holderHash(const RunnerCandidate& runner)
{
    return runner.process != 0 ? runner.process : holderHash(runner.id.get(), runner.incarnation);
}

/// Hash of a cache store, used like holderHash(). The two never have the same value.
std::uint64_t storeHash(const Endpoint& endpoint);

/// Prefixes of a request that other requests share, the shortest first. The last part of the prompt is not included
/// because it belongs to the request alone. The hash depends on the model, the weights and the cache salt.
std::vector<SharedPrefix> sharedPrefixes(
    const ForwardRequest& request, const std::string& cacheSalt, WeightsVersion weights);

} // namespace Pollenwind
