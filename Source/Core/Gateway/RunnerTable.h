#pragma once

#include "Gateway/Commands/RunnerCommands.h"
#include "Gateway/Queries/RunnerQueries.h"
#include "Gateway/RunnerSuspicion.h"
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

    void noteEntry(RunnerEntry entry) override;
    void noteEntryEnded(const UpstreamId& runner) override;
    void replaceEntries(std::vector<RunnerEntry> entries) override;
    void noteNewestWeights(const std::string& model, WeightsVersion version, MonotonicTime namedAfter) override;
    void noteWeightsAge(std::uint64_t modelHash, WeightsVersion version, std::chrono::nanoseconds age) override;
    void noteRefusal(const UpstreamId& runner, std::chrono::nanoseconds avoidTime) override;
    void noteLoadedWeights(std::span<const LoadedWeights> loaded) override;
    void noteOtherWeights(const UpstreamId& runner, const std::string& model, WeightsVersion expected) override;
    void noteSent(const UpstreamId& runner, double tokens) override;
    void noteFirstOutput(const UpstreamId& runner, double tokens) override;
    void noteUnreachable(const UpstreamId& runner) override;
    void noteReplaced(const UpstreamId& runner) override;
    void noteRemoteFailures(const VmId& vm, const RunnerFailures& failures) override;
    void noteEnded(const UpstreamId& runner, double waitingTokens, RunnerResult result) override;
    void noteRemoteLoad(const VmId& vm, std::map<std::uint64_t, RunnerLoad> loads) override;
    void forgetRemoteLoad(const VmId& vm) override;
    void setLoadingRunners(const VmId& vm, std::set<std::uint64_t> runners) override;

    std::vector<RunnerCandidate> candidates(const ServiceId& service, const std::string& model) const override;
    std::optional<RunnerEntry> find(const UpstreamId& runner) const override;
    std::vector<RunnerEntry> entries() const override;
    std::map<std::uint64_t, RunnerLoad> ownLoads() const override;
    std::vector<NamedAge> namedAges() const override;
    RunnerFailures recentFailures() const override;
    unsigned requestsAt(const UpstreamId& runner) const override;
    const std::map<std::string, WeightsVersion>& newestWeights() const override { return m_newestWeights; }

private:
    struct Runner {
        RunnerEntry entry;
        std::uint64_t hash = 0;
        RunnerLoad own;
        MonotonicTime endedAt { 0 };
        /// Refreshed when read, because a breaker moves on with time.
        mutable CircuitBreaker breaker;
        RunnerSuspicion suspicion = {};
    };
    struct NamedWeights {
        WeightsVersion version = 0;
        /// 0 when it is not known; the weights are then taken for old.
        MonotonicTime namedAt { 0 };
    };

    /// Oldest weights of a model on which a request may begin now.
    WeightsVersion oldestAllowedWeights(const std::string& model) const;
    RunnerLoad loadOf(const Runner& runner) const;
    RunnerCandidate toCandidate(const Runner& runner, const std::string& model) const;
    void forgetOldRunners();
    bool isLoading(std::uint64_t hash) const;

    const Clock& m_clock;
    TimelineCommands& m_timeline;
    RunnerTableOptions m_options;
    std::map<UpstreamId, Runner> m_runners;
    std::map<VmId, std::map<std::uint64_t, RunnerLoad>> m_remoteLoads;
    std::map<VmId, std::set<std::uint64_t>> m_loading;

    std::map<std::string, WeightsVersion> m_newestWeights;
    /// Named versions by model, oldest first.
    std::map<std::string, std::vector<NamedWeights>> m_namedWeights;
};

} // namespace Pollenwind
