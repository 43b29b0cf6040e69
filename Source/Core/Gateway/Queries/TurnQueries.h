#pragma once

#include <cstdint>

namespace Pollenwind {

/// Selects one VM of the fleet without messages.
class TurnQueries {
public:
    TurnQueries() = default;
    TurnQueries(const TurnQueries&) = delete;
    TurnQueries& operator=(const TurnQueries&) = delete;
    virtual ~TurnQueries() = default;

    /// Whether this VM is the one selected for a subject. VMs with the same view of the fleet select the same VM.
    virtual bool isOwnTurn(std::uint64_t subject) const = 0;
};

} // namespace Pollenwind
