#pragma once

#include "Gateway/Commands/RunnerCommands.h"
#include "Gateway/Queries/RunnerQueries.h"
#include "Gateway/RunnerFailureState.h"
#include "Timeline/Commands/TimelineCommands.h"
#include "Upstream/CircuitBreaker.h"

#include <chrono>
#include <map>
#include <vector>

namespace Pollenwind {

/// Timeouts of the runner table.
struct RunnerTableOptions {
    /// After newer weights were named, longest time in which requests may still begin on older ones.
    std::chrono::milliseconds oldWeightsLimit { 6500 };
};

/// The runners of the platform's list with the work that is under way at each.
class RunnerTable final : public RunnerCommands, public RunnerQueries {
public:
    RunnerTable(const Clock& clock, TimelineCommands& timeline, RunnerTableOptions options);

    void updateEntry(RunnerEntry entry) override;
    void markEntryEnded(const UpstreamId& runner) override;
    void replaceEntries(std::vector<RunnerEntry> entries) override;
    void setTargetWeights(const std::string& model, WeightsVersion version, MonotonicTime setAfter) override;
    void setTargetWeightsAge(std::uint64_t modelHash, WeightsVersion version, std::chrono::nanoseconds age) override;
    void recordRefusal(const UpstreamId& runner, std::chrono::nanoseconds avoidTime) override;
    void recordLoadedWeights(std::span<const LoadedWeights> loaded) override;
    void onWeightsMismatch(const UpstreamId& runner, const std::string& model, WeightsVersion expected) override;
    void recordSent(const UpstreamId& runner, double tokens) override;
    void recordFirstOutput(const UpstreamId& runner, double tokens) override;
    void recordConnectFailure(const UpstreamId& runner) override;
    void markReplaced(const UpstreamId& runner) override;
    void recordRemoteFailures(const VmId& vm, const RunnerFailures& failures) override;
    void recordEnded(const UpstreamId& runner, double waitingTokens, RunnerResult result) override;
    void setRemoteLoad(const VmId& vm, std::map<std::uint64_t, RunnerLoad> loads) override;
    void clearRemoteLoad(const VmId& vm) override;
    void setLoadingRunners(const VmId& vm, std::set<std::uint64_t> runners) override;

    std::vector<RunnerCandidate> candidates(const ServiceId& service, const std::string& model) const override;
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
        std::uint64_t hash = 0;
        RunnerLoad own;
        MonotonicTime endedAt { 0 };
        /// Refreshed when read, because a breaker moves on with time.
        mutable CircuitBreaker breaker;
        RunnerFailureState failureState = {};
    };
    struct TargetVersion {
        WeightsVersion version = 0;
        /// 0 when it is not known; the weights are then taken for old.
        MonotonicTime setAt { 0 };
    };

    /// Oldest weights of a model on which a request may begin now.
    WeightsVersion oldestAllowedWeights(const std::string& model) const;
    RunnerLoad loadOf(const Runner& runner) const;
    RunnerCandidate toCandidate(const Runner& runner, const std::string& model) const;
    void removeGoneRunners();
    bool isLoading(std::uint64_t hash) const;

    const Clock& m_clock;
    TimelineCommands& m_timeline;
    RunnerTableOptions m_options;
    std::map<UpstreamId, Runner> m_runners;
    std::map<VmId, std::map<std::uint64_t, RunnerLoad>> m_remoteLoads;
    std::map<VmId, std::set<std::uint64_t>> m_loading;

    std::map<std::string, WeightsVersion> m_targetWeights;
    /// Named versions by model, oldest first.
    std::map<std::string, std::vector<TargetVersion>> m_targetVersions;
};

} // namespace Pollenwind
