#pragma once

#include "Common/Clock.h"

#include <cstddef>

namespace Pollenwind {

/// Share of a service's engines that form its prompt pool.
///
/// Load pattern that it answers: more urgent streams come than the engines outside the pool have slots for, because of
/// a peak or a loss of engines. Their batches grow, every stream takes longer and holds its slot longer, and streams
/// spill into the pool, where prompts delay them. The pool gives way to the streams and returns slowly afterwards,
/// since each change moves cached prefixes.
class PromptPoolSize {
public:
    /// Share of the engines without need of the more urgent routes.
    static constexpr double largestShare = 0.5;
    /// Share that the pool keeps in any case, so that the yielding routes are still served.
    static constexpr double smallestShare = 0.2;

    /// Recomputes the share.
    /// @param engines Number of engines in use.
    /// @param slots Slots of these engines together.
    /// @param urgentRequests Requests of routes that do not yield at all of them, from all VMs.
    /// @return Share of the engines in the pool.
    double update(MonotonicTime now, std::size_t engines, double slots, double urgentRequests);

private:
    double m_share = largestShare;
    MonotonicTime m_updatedAt { 0 };
};

} // namespace Pollenwind
