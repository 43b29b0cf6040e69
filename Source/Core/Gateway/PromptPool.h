#pragma once

#include "Gateway/RunnerTypes.h"

#include <cstddef>
#include <span>

namespace Pollenwind {

/// The engines of one service that compute the prompts of yielding routes.
///
/// Load pattern that it answers: long prompts of the least urgent route occupy all engines, and each batch step that
/// computes a part of one delays every stream at that engine. The pool keeps these prompts away from the streams of the
/// other engines.
///
/// The members are the first engines of a hash order, which is the same at all VMs, so that differing sizes and an
/// engine that fails change the pool only at its edge.
class PromptPool {
public:
    /// Sets RunnerCandidate::isInPromptPool of the members.
    /// @param share Share of the engines, see PromptPoolSize.
    static void markMembers(std::span<RunnerCandidate> engines, double share);

    /// Number of members.
    /// @param engines Number of engines in use.
    /// @param share Share of the engines, see PromptPoolSize.
    static std::size_t sizeOf(std::size_t engines, double share);
};

} // namespace Pollenwind
