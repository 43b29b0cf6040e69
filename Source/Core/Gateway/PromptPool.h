#pragma once

#include "Common/Clock.h"
#include "Gateway/RunnerTypes.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <span>

namespace Pollenwind {

/// The engines of one service that compute the prompts of yielding routes.
///
/// Load pattern that it answers: long prompts of the least urgent route occupy all engines, and each batch step that
/// computes a part of one delays every stream at that engine. The pool keeps these prompts away from the streams of the
/// other engines.
///
/// The members are the first engines of a hash order, so that a smaller pool is a part of a larger one and VMs with
/// different sizes differ only at the edge. The size follows from the reported work, which all VMs know.
class PromptPool {
public:
    /// Sizes of the pool as shares of the engines in use. Few sizes, since each change moves cached prefixes and VMs
    /// agree on a coarse size in spite of different reports.
    static constexpr std::array<double, 3> shares { 0.3, 0.475, 0.65 };
    /// Shortest time between two changes of the size by one step.
    static constexpr std::chrono::seconds stepInterval { 2 };

    /// Updates the size from the work at the engines.
    /// @param engines Engines in use, with the work of all VMs as far as it is known.
    void observe(MonotonicTime now, std::span<const RunnerCandidate> engines);

    /// Sets RunnerCandidate::isInPromptPool of the members.
    void markMembers(std::span<RunnerCandidate> engines) const;

    /// Number of members.
    /// @param engines Number of engines in use.
    std::size_t sizeOf(std::size_t engines) const;

    /// Share of the engines in use.
    double share() const { return shares[m_level]; }

private:
    /// Prompts in progress for each engine of a pool with a share of the engines, derived from the share of all engines
    /// that have one.
    double promptsPerEngine(double poolShare) const;

    std::size_t m_level = 1;
    /// Share of the engines with waiting tokens of yielding routes, averaged over time.
    double m_busyShare = 0;
    /// Share of all slots with requests that do not yield, averaged over time.
    double m_urgentShare = 0;
    MonotonicTime m_observedAt { 0 };
    MonotonicTime m_changedAt { 0 };
};

} // namespace Pollenwind
