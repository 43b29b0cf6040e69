#pragma once

#include "Common/Clock.h"
#include "Gateway/Commands/EvacuationCommands.h"
#include "Gateway/Queries/EvacuationQueries.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <map>
#include <string_view>

namespace Pollenwind {

/// Requests and zones for the operator's view of evacuations.
struct EvacuationProgress {
    unsigned zones = 0;
    /// Requests of this VM that still run at runners of evacuated zones.
    unsigned requests = 0;
};

/// The zones that the operator has taken out of service, as the store's keys tell them.
class ZoneEvacuations final : public EvacuationCommands, public EvacuationQueries {
public:
    /// Time for which an evacuation is kept whose key a restored store lacks.
    static constexpr std::chrono::seconds lostKeyRetention { 60 };
    /// Time for which the end of an evacuation is remembered.
    static constexpr std::chrono::seconds endRetention { 60 };

    ZoneEvacuations(const Clock& clock, TimelineCommands& timeline)
        : m_clock(clock)
        , m_timeline(timeline)
    {
    }

    void begin(const ZoneId& zone) override;
    void end(const ZoneId& zone) override;
    void replaceAll(const std::set<ZoneId>& zones, bool isRestored) override;

    bool isEvacuated(const ZoneId& zone) const override;
    std::optional<std::chrono::nanoseconds> timeSinceEnd(const ZoneId& zone) const override;

    /// Ends evacuations whose keys were lost for too long, and reports those that have completed at this VM.
    /// @param requests Running requests of this VM by the zone of their runner.
    EvacuationProgress update(const std::map<ZoneId, unsigned>& requests);

private:
    struct Evacuation {
        MonotonicTime startedAt { 0 };
        /// Time at which it ends unless a restored store gets the key again; 0 if the store has the key.
        MonotonicTime endsAt { 0 };
        /// Whether no request of this VM runs at the zone's runners.
        bool isComplete = false;

        bool isOver(MonotonicTime now) const { return endsAt.count() > 0 && now >= endsAt; }
    };

    void finish(std::map<ZoneId, Evacuation>::iterator it, MonotonicTime at, std::string_view cause);

    const Clock& m_clock;
    TimelineCommands& m_timeline;
    std::map<ZoneId, Evacuation> m_evacuations;
    /// Times at which evacuations ended.
    std::map<ZoneId, MonotonicTime> m_ended;
};

} // namespace Pollenwind
