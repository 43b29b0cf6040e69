#pragma once

#include "Gateway/RunnerTypes.h"

#include <optional>
#include <set>
#include <span>
#include <vector>

namespace Pollenwind {

/// Updates the table of runners. Events of a runner that is not in the table are ignored.
class RunnerCommands {
public:
    RunnerCommands() = default;
    RunnerCommands(const RunnerCommands&) = delete;
    RunnerCommands& operator=(const RunnerCommands&) = delete;
    virtual ~RunnerCommands() = default;

    /// Adds or updates a runner's entry.
    virtual void updateEntry(RunnerEntry entry) = 0;
    /// Marks a runner's entry as ended, also when the entry cannot be read.
    virtual void markEntryEnded(const UpstreamId& runner) = 0;
    /// Updates all entries and marks the entries of runners that are not in the list as ended.
    virtual void replaceEntries(std::vector<RunnerEntry> entries) = 0;
    /// Updates the entries that a restored store has. The runners whose entries are missing stay in use until they have
    /// had the time to write them again.
    /// @return Number of runners whose entries are missing.
    virtual std::size_t restoreEntries(std::vector<RunnerEntry> entries) = 0;
    /// Marks the entries as ended that were not written again in time after a restore of the store.
    virtual void endMissingEntries() = 0;

    /// Sets the target weights of a model, unless a newer target is known.
    /// @param setAfter Earliest time at which the operator may have set them; 0 when that is not known.
    virtual void setTargetWeights(
        const std::string& model, WeightsVersion version, MonotonicTime setAfter, ChangeSource source)
        = 0;
    /// Sets how long ago a target version was set, as another VM reported it: the VM received its event in time. Of
    /// several such ages the oldest applies, since a VM that was paused meanwhile takes the event for newer.
    virtual void setTargetWeightsAge(std::uint64_t modelHash, WeightsVersion version, std::chrono::nanoseconds age) = 0;

    /// Records weights that runners have loaded and that their entries do not show yet.
    virtual void recordLoadedWeights(std::span<const LoadedWeights> loaded) = 0;

    /// Reacts to a runner that refused a request because it has other weights than those expected. Until its entry
    /// changes, it is assumed to have the target weights when these are newer than the expected ones; otherwise it is
    /// avoided for a short time.
    virtual void onWeightsMismatch(const UpstreamId& runner, const std::string& model, WeightsVersion expected) = 0;

    /// Records that a request was sent.
    /// @param tokens Prompt tokens that the runner is expected to compute.
    virtual void recordSent(const UpstreamId& runner, double tokens, RouteUrgency urgency) = 0;
    void recordSent(const UpstreamId& runner, double tokens) { recordSent(runner, tokens, RouteUrgency::Urgent); }
    /// Records that a request produced its first output, so that its prompt tokens no longer wait.
    /// @param tokens Prompt tokens given to recordSent().
    /// @param urgency Urgency given to recordSent().
    virtual void recordFirstOutput(const UpstreamId& runner, double tokens, RouteUrgency urgency) = 0;
    void recordFirstOutput(const UpstreamId& runner, double tokens)
    {
        recordFirstOutput(runner, tokens, RouteUrgency::Urgent);
    }
    /// Records that a runner refused a request.
    /// @param avoidTime Time in which it is expected to refuse others.
    virtual void recordRefusal(const UpstreamId& runner, std::chrono::nanoseconds avoidTime) = 0;
    /// Records that no connection to a runner could be made.
    virtual void recordConnectFailure(const UpstreamId& runner) = 0;
    /// Marks the current incarnation of a runner as ended because another process answered at its address.
    virtual void markReplaced(const UpstreamId& runner) = 0;
    /// Records that a runner process announced its shutdown, which is final for that process: it gets no further
    /// requests.
    /// @param source How this VM learned it, from the runner itself.
    /// @param request Request whose response told it; empty if there is none.
    virtual void recordLeaving(
        const UpstreamId& runner, Incarnation incarnation, LeavingSource source, const RequestId& request)
        = 0;
    /// Records that a runner refused a request and named a time for which it wants no others. It gets none in that
    /// time, and one at a time as a trial after it until one is accepted.
    /// @param wanted The time that the runner named.
    virtual void recordBackOff(
        const UpstreamId& runner, Incarnation incarnation, std::chrono::nanoseconds wanted, const RequestId& request)
        = 0;
    /// Records that a request is sent as a trial; see RunnerQueries::needsTrial().
    virtual void beginTrial(const UpstreamId& runner) = 0;
    /// Records what became of a trial.
    /// @param isAccepted Whether the runner accepted the request.
    virtual void endTrial(const UpstreamId& runner, bool isAccepted) = 0;
    /// Records failures and announced shutdowns of runners that another VM reported.
    virtual void recordRemoteFailures(const VmId& vm, const RunnerFailures& failures) = 0;
    /// Records the end of a request.
    /// @param waitingTokens Prompt tokens given to recordSent() if there was no output, otherwise 0.
    /// @param urgency Urgency given to recordSent().
    virtual void recordEnded(const UpstreamId& runner, double waitingTokens, RunnerResult result, RouteUrgency urgency)
        = 0;
    void recordEnded(const UpstreamId& runner, double waitingTokens, RunnerResult result)
    {
        recordEnded(runner, waitingTokens, result, RouteUrgency::Urgent);
    }

    /// Sets another VM's work at the runners, by hash of the runner's id. It replaces what that VM reported before.
    virtual void setRemoteLoad(const VmId& vm, std::map<std::uint64_t, RunnerLoad> loads) = 0;
    /// Clears the work and the loading runners that another VM reported.
    virtual void clearRemoteLoad(const VmId& vm) = 0;
    /// Sets the runners, by hash of id, that load weights or are about to by order of a VM. They get new requests only
    /// if no other runner can take them.
    virtual void setLoadingRunners(const VmId& vm, std::set<std::uint64_t> runners) = 0;
};

} // namespace Pollenwind
