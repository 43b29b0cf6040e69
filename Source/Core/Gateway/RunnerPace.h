#pragma once

#include "Common/Clock.h"
#include "Gateway/Commands/PaceCommands.h"
#include "Gateway/PaceTypes.h"
#include "Gateway/Queries/PaceQueries.h"

#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace Pollenwind {

/// A runner whose speed differs from the median of its service.
struct RunnerSpeed {
    /// Hash of the runner's id.
    std::uint64_t runner = 0;
    double speed = 1;
    /// Time since the last sample.
    std::chrono::nanoseconds age { 0 };
    /// Time for which it has differed.
    std::chrono::nanoseconds duration { 0 };
};

/// Measures the relative speed of runners by the pauses between the events of their streams.
///
/// Load patterns that it answers: runners of one service whose speeds differ by a factor of 0.7 to 1.7, and runners
/// that are 2.5 times slower for half a second. Each pause is divided by the usual pause of its route at this VM, so
/// that the ratios of all routes and VMs can be pooled. VMs report sums of ratios to each other.
class RunnerPace final : public PaceCommands, public PaceQueries {
public:
    /// Smallest factor by which a runner differs from the median. Runners of one kind differ by less because of their
    /// load, so they are placed as without measured speeds.
    static constexpr double unevenFactor = 1.35;
    /// Age after which a measured speed is no longer used.
    static constexpr std::chrono::seconds maxAge { 5 };
    /// The runners of a service count as uneven if this share of them differs by clearlyUnevenFactor for unevenDelay.
    /// Load alone makes runners of nearly equal speed differ by less, fewer of them, or for a shorter time.
    static constexpr double unevenShare = 0.1;
    static constexpr double clearlyUnevenFactor = 1.6;
    static constexpr std::chrono::seconds unevenDelay { 4 };
    /// Time for which the runners count as uneven after that.
    static constexpr std::chrono::seconds unevenRetention { 15 };

    explicit RunnerPace(const Clock& clock)
        : m_clock(clock)
    {
    }

    void recordPause(const std::string& route, std::uint64_t runner, std::chrono::nanoseconds pause) override;
    double speedOf(std::uint64_t runner) const override;
    void speedsOf(std::span<const std::uint64_t> runners, std::span<double> speeds) const override;

    /// Records the samples that another VM or a relay reported.
    void recordRemote(std::span<const PaceSample> samples, bool isOfOwnZone);
    /// Returns the samples of this VM's streams since the last call, to be reported to the other VMs.
    std::vector<PaceSample> takeReport() { return take(m_unreported); }
    /// Returns the samples of this zone since the last call, to be reported to the other zones.
    std::vector<PaceSample> takeZoneReport() { return take(m_zoneUnreported); }

    /// Computes the speeds. Called every updateInterval.
    /// @param services Hashes of the runners of each service. Other runners are forgotten.
    void update(std::span<const std::vector<std::uint64_t>> services);
    /// Interval of update().
    static constexpr std::chrono::milliseconds updateInterval { 250 };

    /// Whether runners of a service have had different speeds for some seconds.
    bool isUneven() const { return m_clock.now() < m_unevenUntil; }
    /// Runners with a speed other than 1.
    std::vector<RunnerSpeed> speeds() const;

private:
    /// Sum and count of values, which decay with time.
    struct DecayingMean {
        double sum = 0;
        double count = 0;
        MonotonicTime at { 0 };
        /// Time of the last value.
        MonotonicTime addedAt { 0 };

        void decayTo(MonotonicTime now, std::chrono::nanoseconds decayTime);
        void add(double values, double number, MonotonicTime now, std::chrono::nanoseconds decayTime);
        double mean() const { return sum / count; }
    };
    struct Route {
        std::unordered_map<std::uint64_t, DecayingMean> pauses;
        /// Median of the pauses in seconds; 0 if it is not known.
        double usualPause = 0;
    };
    struct Speed {
        double speed = 1;
        /// Time since which the runner has differed from the median.
        MonotonicTime since { 0 };
        MonotonicTime measuredAt { 0 };
    };
    using Samples = std::map<std::uint64_t, PaceSample>;

    /// Entry of a hash table with open addressing.
    struct IndexedSpeed {
        std::uint64_t runner = 0;
        /// 0 in an unused entry.
        double speed = 0;
        MonotonicTime measuredAt { 0 };
    };

    static std::vector<PaceSample> take(Samples& samples);
    static void addTo(Samples& samples, const PaceSample& sample);
    void addRatios(const PaceSample& sample);
    void updateUsualPauses();
    void updateIndex();
    void updateSpeeds(std::span<const std::uint64_t> runners, std::unordered_map<std::uint64_t, Speed>& speeds);

    const Clock& m_clock;
    std::map<std::string, Route> m_routes;
    std::unordered_map<std::uint64_t, DecayingMean> m_ratios;
    /// Speeds other than 1.
    std::unordered_map<std::uint64_t, Speed> m_speeds;
    /// The same speeds, for the decisions, each of which looks up all runners of a service. The size is a power of two
    /// and at least twice the number of speeds; empty if there are none.
    std::vector<IndexedSpeed> m_index;
    Samples m_unreported;
    Samples m_zoneUnreported;
    MonotonicTime m_unevenUntil { 0 };
};

} // namespace Pollenwind
