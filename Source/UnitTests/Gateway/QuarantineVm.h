#pragma once

#include "Gateway/GatewayFixture.h"

namespace Pollenwind {

/// The turn of one VM of a test's fleet.
class ScriptedTurns final : public TurnQueries {
public:
    bool isOwnTurn(std::uint64_t) const override { return isOwn; }

    bool isOwn = false;
};

/// A VM with what the quarantine of parts needs.
struct QuarantineVm {
    explicit QuarantineVm(const Clock& clock)
        : timeline(clock, "test")
        , quarantine(clock, timeline, metrics, turns)
    {
    }

    bool isQuarantined(PartId part) const { return quarantine.findQuarantined(std::array { part }).has_value(); }

    MetricTable metrics;
    Timeline timeline;
    ScriptedTurns turns;
    PartQuarantine quarantine;
};

} // namespace Pollenwind
