#pragma once

#include "Gateway/RunnerTypes.h"

#include <optional>
#include <set>
#include <span>
#include <vector>

namespace Pollenwind {

/// Changes what is known about runners.
class RunnerCommands {
public:
    RunnerCommands() = default;
    RunnerCommands(const RunnerCommands&) = delete;
    RunnerCommands& operator=(const RunnerCommands&) = delete;
    virtual ~RunnerCommands() = default;

    /// Takes a runner's entry.
    virtual void updateEntry(RunnerEntry entry) = 0;
    /// Takes the end of a runner's entry, or an entry that cannot be read.
    virtual void markEntryEnded(const UpstreamId& runner) = 0;
    /// Takes the whole list; runners that are not on it are gone.
    virtual void replaceEntries(std::vector<RunnerEntry> entries) = 0;

    /// Names the newest weights of a model.
    /// @param setAfter Moment after which they were named; 0 when that is not known.
    virtual void setTargetWeights(const std::string& model, WeightsVersion version, MonotonicTime setAfter) = 0;
    /// Takes the time at which another VM saw weights named, where this VM does not know it.
    virtual void setTargetWeightsAge(std::uint64_t modelHash, WeightsVersion version, std::chrono::nanoseconds age) = 0;

    /// Takes weights that runners have loaded, before their entries tell it.
    virtual void recordLoadedWeights(std::span<const LoadedWeights> loaded) = 0;

    /// Notes that a runner refused a request because it has other weights than those that were expected. It is taken
    /// to have the newest ones until its entry tells more.
    virtual void onWeightsMismatch(const UpstreamId& runner, const std::string& model, WeightsVersion expected) = 0;

    /// Notes that a request was sent.
    /// @param tokens Prompt tokens to compute.
    virtual void recordSent(const UpstreamId& runner, double tokens) = 0;
    /// Notes that a request produced its first output.
    virtual void recordFirstOutput(const UpstreamId& runner, double tokens) = 0;
    /// Notes that a runner refused a request and will refuse others for a time.
    virtual void recordRefusal(const UpstreamId& runner, std::chrono::nanoseconds avoidTime) = 0;
    /// Notes that no connection to a runner could be made.
    virtual void recordConnectFailure(const UpstreamId& runner) = 0;
    /// Notes that another process answered at a runner's address: this start of the runner is over.
    virtual void markReplaced(const UpstreamId& runner) = 0;
    /// Takes another VM's failures.
    virtual void recordRemoteFailures(const VmId& vm, const RunnerFailures& failures) = 0;
    /// Notes the end of a request.
    /// @param waitingTokens Prompt tokens given to recordSent() when there was no output, otherwise 0.
    virtual void recordEnded(const UpstreamId& runner, double waitingTokens, RunnerResult result) = 0;

    /// Takes another VM's work at the runners, by hash of the runner's id; it replaces what that VM reported before.
    virtual void setRemoteLoad(const VmId& vm, std::map<std::uint64_t, RunnerLoad> loads) = 0;
    /// Forgets a VM's work at the runners.
    virtual void clearRemoteLoad(const VmId& vm) = 0;
    /// Names the runners to which a VM orders loads and which should get no new requests, by hash of id.
    virtual void setLoadingRunners(const VmId& vm, std::set<std::uint64_t> runners) = 0;
};

} // namespace Pollenwind
