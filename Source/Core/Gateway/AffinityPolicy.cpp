#include "Gateway/AffinityPolicy.h"

#include "Gateway/Queries/RunnerQueries.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <vector>

namespace Pollenwind {

namespace {

    // Chance that a runner holds the shared parts, by its place in the prompt's rendezvous order.
    constexpr std::array<double, 3> heldByRank { 0.95, 0.4, 0.1 };

    struct Subject {
        std::uint64_t hash = 0;
        double sharedTokens = 0;
    };

    /// The parts that other requests share: all but the last.
    Subject subjectOf(const ForwardRequest& request, const std::string& cacheSalt)
    {
        Subject subject;
        subject.hash = XXH3_64bits(cacheSalt.data(), cacheSalt.size());
        for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
            const auto& part = request.parts[i];
            subject.hash = XXH3_64bits_withSeed(&part.id, sizeof part.id, subject.hash);
            subject.sharedTokens += part.tokens;
        }
        return subject;
    }

    std::uint64_t rendezvousWeight(const Subject& subject, const UpstreamId& runner)
    {
        const auto hash = runnerHash(runner);
        return XXH3_64bits_withSeed(&hash, sizeof hash, subject.hash);
    }

    struct Option {
        const RunnerCandidate* candidate = nullptr;
        std::uint64_t weight = 0;
    };

} // namespace

AffinityPolicy::AffinityPolicy(ZoneId ownZone, AffinityCosts costs)
    : m_ownZone(std::move(ownZone))
    , m_costs(costs)
{
}

std::optional<RunnerChoice> AffinityPolicy::choose(const ForwardRequest& request, const std::string& cacheSalt,
    WeightsVersion newestWeights, std::span<const RunnerCandidate> candidates) const
{
    const auto subject = subjectOf(request, cacheSalt);
    std::vector<Option> options;
    for (const auto& candidate : candidates) {
        options.push_back({ &candidate, rendezvousWeight(subject, candidate.id) });
    }
    std::ranges::sort(options, [](const Option& a, const Option& b) { return a.weight > b.weight; });
    const double promptTokens = request.tokens ? request.tokens->prompt : subject.sharedTokens;
    std::optional<RunnerChoice> best;
    double leastCost = 0;
    for (std::size_t rank = 0; rank < options.size(); ++rank) {
        const auto& candidate = *options[rank].candidate;
        const double held = rank < heldByRank.size() ? heldByRank[rank] : 0;
        const double missed = subject.sharedTokens * (1 - held);
        const double ownTokens = std::max(0.0, promptTokens - subject.sharedTokens);
        double cost = candidate.load.waitingTokens * m_costs.secondsPerToken
            + missed * m_costs.secondsPerToken * m_costs.missedWeight
            + candidate.load.requests * m_costs.secondsPerRequest;
        if (candidate.load.requests >= m_costs.crowdedShare * candidate.slots) {
            cost += m_costs.crowdedSeconds * candidate.load.requests / std::max(1U, candidate.slots);
        }
        cost += candidate.zone == m_ownZone ? 0 : m_costs.otherZoneSeconds;
        cost += candidate.weights < newestWeights ? m_costs.oldWeightsSeconds : 0;
        // A runner that is recovering gets work when the others would take clearly longer.
        cost += 1 - candidate.admission;
        if (!best || cost < leastCost) {
            leastCost = cost;
            best = RunnerChoice { candidate.id, candidate.endpoint, missed + ownTokens };
        }
    }
    return best;
}

} // namespace Pollenwind
