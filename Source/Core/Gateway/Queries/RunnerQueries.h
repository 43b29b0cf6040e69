#pragma once

#include "Gateway/HomeRegions.h"
#include "Gateway/RolloutTypes.h"
#include "Gateway/RunnerTypes.h"

#include <optional>
#include <vector>

namespace Pollenwind {

/// Reads the table of runners.
class RunnerQueries {
public:
    RunnerQueries() = default;
    RunnerQueries(const RunnerQueries&) = delete;
    RunnerQueries& operator=(const RunnerQueries&) = delete;
    virtual ~RunnerQueries() = default;

    /// Runners of a service that may take a request now, without those that want none by their own words and those of
    /// evacuated zones. Runners that are suspect, loading weights, reported as leaving by another VM or whose entry has
    /// just ended are returned only if there are no others.
    /// @param model Model that the request asks for, or empty. Runners whose weights are too old are excluded.
    /// @param versions Versions of the software that may be used.
    /// @param home Regions whose runners may be used. Cold runners are returned only if there is no warm one, and only
    ///     those that this VM may send a request to now.
    virtual std::vector<RunnerCandidate> candidates(
        const ServiceId& service, const std::string& model, const VersionRule& versions, const HomeRegions& home) const
        = 0;
    /// Runners of all regions.
    std::vector<RunnerCandidate> candidates(
        const ServiceId& service, const std::string& model, const VersionRule& versions) const
    {
        return candidates(service, model, versions, {});
    }
    /// Runners with any version of the software.
    std::vector<RunnerCandidate> candidates(const ServiceId& service, const std::string& model) const
    {
        return candidates(service, model, VersionRule {}, HomeRegions {});
    }

    /// Whether the next request to a runner is a trial after a back-off.
    virtual bool needsTrial(const UpstreamId& runner) const = 0;

    /// Time until the first of the service's runners in back-off accepts requests again or, if all others are cold,
    /// this VM may send a request to one; nothing if there is no such runner.
    virtual std::optional<std::chrono::nanoseconds> timeUntilReturn(const ServiceId& service) const = 0;

    /// Whether all runners of a service that are in use are cold.
    virtual bool hasOnlyColdRunners(const ServiceId& service) const = 0;

    virtual UnwillingRunners unwillingRunners() const = 0;

    /// Whether a request that was placed at a runner process may still be sent: false if the process has announced its
    /// shutdown, asked for a back-off or been replaced since, if its zone is out of service, or if it has turned cold.
    virtual bool mayStillSend(const UpstreamId& runner, Incarnation incarnation) const = 0;

    /// @return A runner's entry, also for some time after it ended, or nothing for an unknown runner.
    virtual std::optional<RunnerEntry> find(const UpstreamId& runner) const = 0;

    /// Entries of all runners, except those whose entry has ended or whose process is known to have been replaced.
    virtual std::vector<RunnerEntry> entries() const = 0;

    /// This VM's own work, by hash of the runner's id.
    virtual std::map<std::uint64_t, RunnerLoad> ownLoads() const = 0;

    /// Running requests of this VM by the zone of their runner.
    virtual std::map<ZoneId, unsigned> ownRequestsByZone() const = 0;

    /// Recent failures and announced shutdowns of runners to report to the other VMs.
    virtual RunnerFailures recentFailures() const = 0;

    /// Number of running requests at a runner, from this VM and as last reported by the others.
    virtual unsigned requestsAt(const UpstreamId& runner) const = 0;

    /// Target weights by model.
    virtual const std::map<std::string, WeightsVersion>& targetWeights() const = 0;

    /// How long ago the target versions were set that may not exclude older weights yet, where known.
    virtual std::vector<TargetWeightsAge> targetWeightsAges() const = 0;
};

/// Hash that identifies a model in reports between VMs.
std::uint64_t modelHash(const std::string& model);

/// Hash that identifies a runner in reports between VMs.
std::uint64_t runnerHash(const UpstreamId& runner);
inline std::uint64_t runnerHash(const RunnerCandidate& runner)
{
    return runner.hash != 0 ? runner.hash : runnerHash(runner.id.get());
}

} // namespace Pollenwind
