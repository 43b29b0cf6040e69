#pragma once

#include "Gateway/Commands/RunnerCommands.h"
#include "Gateway/LeavingRunners.h"
#include "Gateway/Queries/RunnerQueries.h"
#include "Gateway/RunnerFailureState.h"
#include "Gateway/SoftwareVersions.h"
#include "Timeline/Commands/TimelineCommands.h"
#include "Upstream/CircuitBreaker.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace Pollenwind {

/// Timeouts of the runner table.
struct RunnerTableOptions {
    /// Longest time after a new target was set in which requests are still placed on older weights.
    std::chrono::milliseconds maxOldWeightsTime { 6500 };
    /// Further time in which a request that was placed on older weights may begin there.
    std::chrono::milliseconds oldWeightsBeginTime { 900 };
    /// Different for each VM, so that the VMs return to a runner one after the other.
    std::uint64_t spreadSeed = 0;
};

/// The runners with an entry in the store, their failure state and the work in progress at each.
class RunnerTable final : public RunnerCommands, public RunnerQueries {
public:
    RunnerTable(const Clock& clock, TimelineCommands& timeline, RunnerTableOptions options);

    void updateEntry(RunnerEntry entry) override;
    void markEntryEnded(const UpstreamId& runner) override;
    void replaceEntries(std::vector<RunnerEntry> entries) override;
    std::size_t restoreEntries(std::vector<RunnerEntry> entries) override;
    void endMissingEntries() override;
    void setTargetWeights(
        const std::string& model, WeightsVersion version, MonotonicTime setAfter, ChangeSource source) override;
    void setTargetWeightsAge(std::uint64_t modelHash, WeightsVersion version, std::chrono::nanoseconds age) override;
    void recordRefusal(const UpstreamId& runner, std::chrono::nanoseconds avoidTime) override;
    void recordLoadedWeights(std::span<const LoadedWeights> loaded) override;
    void onWeightsMismatch(const UpstreamId& runner, const std::string& model, WeightsVersion expected) override;
    using RunnerCommands::recordEnded;
    using RunnerCommands::recordFirstOutput;
    using RunnerCommands::recordSent;
    void recordSent(const UpstreamId& runner, double tokens, RouteUrgency urgency) override;
    void recordFirstOutput(const UpstreamId& runner, double tokens, RouteUrgency urgency) override;
    void recordConnectFailure(const UpstreamId& runner) override;
    void markReplaced(const UpstreamId& runner) override;
    void recordLeaving(
        const UpstreamId& runner, Incarnation incarnation, LeavingSource source, const RequestId& request) override;
    void recordBackOff(const UpstreamId& runner, Incarnation incarnation, std::chrono::nanoseconds wanted,
        const RequestId& request) override;
    void beginTrial(const UpstreamId& runner) override;
    void endTrial(const UpstreamId& runner, bool isAccepted) override;
    void recordRemoteFailures(const VmId& vm, const RunnerFailures& failures) override;
    void recordEnded(
        const UpstreamId& runner, double waitingTokens, RunnerResult result, RouteUrgency urgency) override;
    void setRemoteLoad(const VmId& vm, std::map<std::uint64_t, RunnerLoad> loads) override;
    void clearRemoteLoad(const VmId& vm) override;
    void setLoadingRunners(const VmId& vm, std::set<std::uint64_t> runners) override;

    using RunnerQueries::candidates;
    std::vector<RunnerCandidate> candidates(
        const ServiceId& service, const std::string& model, const VersionRule& versions) const override;
    bool needsTrial(const UpstreamId& runner) const override;
    std::optional<std::chrono::nanoseconds> timeUntilReturn(const ServiceId& service) const override;
    UnwillingRunners unwillingRunners() const override;
    bool mayStillSend(const UpstreamId& runner, Incarnation incarnation) const override;
    std::optional<RunnerEntry> find(const UpstreamId& runner) const override;
    std::vector<RunnerEntry> entries() const override;
    std::map<std::uint64_t, RunnerLoad> ownLoads() const override;
    std::vector<TargetWeightsAge> targetWeightsAges() const override;
    RunnerFailures recentFailures() const override;
    unsigned requestsAt(const UpstreamId& runner) const override;
    const std::map<std::string, WeightsVersion>& targetWeights() const override { return m_targetWeights; }

private:
    struct Runner {
        RunnerEntry entry;
        /// See runnerHash().
        std::uint64_t hash = 0;
        /// See holderHash().
        std::uint64_t process = 0;
        /// Work from this VM.
        RunnerLoad own;
        /// Time at which the entry ended; 0 if the runner was draining before, so that it is not used any more.
        MonotonicTime endedAt { 0 };
        /// Mutable because reading refreshes it: its state changes with time.
        mutable CircuitBreaker breaker;
        RunnerFailureState failureState = {};
        /// Time at which an entry that a restored store lacks ends unless it is written again; 0 if there is no such
        /// limit.
        MonotonicTime endsAt { 0 };

        /// Whether a restored store still waits for the entry.
        bool isAwaited(MonotonicTime now) const { return endsAt.count() > 0 && now < endsAt; }
        /// Whether the entry was not written again in time.
        bool isOverdue(MonotonicTime now) const { return endsAt.count() > 0 && now >= endsAt; }
    };
    struct TargetVersion {
        WeightsVersion version = 0;
        /// Earliest time at which it may have been set; 0 if that is not known, which counts as long ago.
        MonotonicTime setAt { 0 };
        /// Whether a VM received the event in time. Otherwise the version may have been set much later than `setAt`.
        bool isAgeKnown = false;
    };

    /// Oldest weights of a model on which a request may be placed now; 0 if there is no limit.
    WeightsVersion oldestAllowedWeights(const std::string& model) const;
    /// Time by which a request must begin on weights of a model; nothing if there is no newer target.
    std::optional<MonotonicTime> beginLimit(const std::string& model, WeightsVersion weights) const;
    /// Work from all VMs.
    RunnerLoad loadOf(const Runner& runner) const;
    RunnerCandidate toCandidate(const Runner& runner, const std::string& model) const;
    void removeGoneRunners();
    /// Marks an entry as ended at a time.
    void endEntry(Runner& runner, MonotonicTime at);
    /// Updates the entries of a list, except copies that are older than what is known.
    /// @return The runners whose entries were used.
    std::set<UpstreamId> updateListed(std::vector<RunnerEntry> entries);
    /// Whether an entry that was read is a copy of one that this runner has replaced or ended.
    static bool isOldCopy(const Runner& known, const RunnerEntry& entry);
    void recordReportedLeaving(const VmId& vm, std::span<const LeavingRunner> leaving);
    /// Applies what is known of a runner's process to an entry that was read.
    void applyAnnouncement(RunnerEntry& entry) const;
    /// Whether any VM ordered the runner to load weights or is about to.
    bool isLoading(std::uint64_t hash) const;

    const Clock& m_clock;
    TimelineCommands& m_timeline;
    RunnerTableOptions m_options;
    std::map<UpstreamId, Runner> m_runners;
    MonotonicTime m_nextCleanupAt { 0 };
    LeavingRunners m_leaving;
    SoftwareVersions m_versions;
    std::map<VmId, std::map<std::uint64_t, RunnerLoad>> m_remoteLoads;
    std::map<VmId, std::set<std::uint64_t>> m_loading;

    std::map<std::string, WeightsVersion> m_targetWeights;
    /// Target versions by model, oldest first.
    std::map<std::string, std::vector<TargetVersion>> m_targetVersions;
};

} // namespace Pollenwind
