#pragma once

#include "Gateway/ColdRunnerLimit.h"
#include "Gateway/Commands/RunnerCommands.h"
#include "Gateway/LeavingRunners.h"
#include "Gateway/Queries/EvacuationQueries.h"
#include "Gateway/Queries/RoutingQueries.h"
#include "Gateway/Queries/RunnerQueries.h"
#include "Gateway/Queries/ZoneWorkQueries.h"
#include "Gateway/RunnerColdState.h"
#include "Gateway/RunnerFailureState.h"
#include "Gateway/SoftwareVersions.h"
#include "Timeline/Commands/TimelineCommands.h"
#include "Upstream/CircuitBreaker.h"

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
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

/// What else decides which runners may be used. Each is nullptr if it does not apply.
struct RunnerRestrictions {
    const EvacuationQueries* evacuations = nullptr;
    /// Names the services whose cold runners are limited.
    const RoutingQueries* routing = nullptr;
    ColdRunnerLimit* coldLimit = nullptr;
};

/// The runners with an entry in the store, their failure state and the work in progress at each.
class RunnerTable final : public RunnerCommands, public RunnerQueries, public ZoneWorkQueries {
public:
    RunnerTable(const Clock& clock, TimelineCommands& timeline, RunnerTableOptions options,
        RunnerRestrictions restrictions = {});

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
    std::vector<RunnerCandidate> candidates(const ServiceId& service, const std::string& model,
        const VersionRule& versions, const HomeRegions& home) const override;
    bool hasOnlyColdRunners(const ServiceId& service) const override;
    bool needsTrial(const UpstreamId& runner) const override;
    std::optional<std::chrono::nanoseconds> timeUntilReturn(const ServiceId& service) const override;
    UnwillingRunners unwillingRunners() const override;
    bool mayStillSend(const UpstreamId& runner, Incarnation incarnation) const override;
    std::optional<RunnerEntry> find(const UpstreamId& runner) const override;
    std::vector<RunnerEntry> entries() const override;
    std::map<std::uint64_t, RunnerLoad> ownLoads() const override;
    std::map<std::uint64_t, RunnerLoad> sumOfLoads(std::span<const VmId> vms) const override;
    std::vector<TargetWeightsAge> targetWeightsAges() const override;
    RunnerFailures recentFailures() const override;
    std::map<ZoneId, unsigned> ownRequestsByZone() const override;
    unsigned requestsAt(const UpstreamId& runner) const override;
    const std::map<std::string, WeightsVersion>& targetWeights() const override { return m_targetWeights; }

private:
    /// Sum of the work that other VMs reported. Integers, so that adding and subtracting leaves no rest.
    struct ReportedWork {
        /// Parts of a token in which work is added up.
        static constexpr double partsPerToken = 256;

        std::int64_t requests = 0;
        std::int64_t urgentRequests = 0;
        /// In parts of a token.
        std::int64_t waitingTokens = 0;
        std::int64_t yieldingTokens = 0;

        /// Adds the work of one VM, or subtracts it if `sign` is -1.
        void add(const RunnerLoad& load, int sign);
    };
    struct Runner {
        RunnerEntry entry;
        /// See runnerHash().
        std::uint64_t hash = 0;
        /// See holderHash().
        std::uint64_t process = 0;
        /// Work from this VM.
        RunnerLoad own;
        /// Work from the other VMs.
        ReportedWork reported = {};
        /// Time at which the entry ended; 0 if the runner was draining before, so that it is not used any more.
        MonotonicTime endedAt { 0 };
        /// Mutable because reading refreshes it: its state changes with time.
        mutable CircuitBreaker breaker;
        RunnerFailureState failureState = {};
        RunnerColdState coldState = {};
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

    /// What a request for candidates asks for, and values that are the same for many runners.
    struct CandidateQuery;

    /// Target versions of a model, oldest first; empty if none are known.
    std::span<const TargetVersion> targetVersionsOf(const std::string& model) const;
    /// Oldest weights on which a request may be placed now; 0 if there is no limit.
    WeightsVersion oldestAllowedWeights(std::span<const TargetVersion> targets, MonotonicTime now) const;
    /// Time by which a request must begin on older weights; nothing if there is no newer target.
    std::optional<MonotonicTime> beginLimit(std::span<const TargetVersion> targets, WeightsVersion weights) const;
    /// Work from all VMs.
    static RunnerLoad loadOf(const Runner& runner);
    /// Adds a VM's report to the sums of the runners, or subtracts it if `sign` is -1.
    void addReported(const std::map<std::uint64_t, RunnerLoad>& loads, int sign);
    /// Adds a runner to a list of candidates.
    RunnerCandidate& addCandidate(
        std::vector<RunnerCandidate>& candidates, const Runner& runner, CandidateQuery& query) const;
    /// Adds a runner to the list of its service, or removes it.
    void addToService(Runner& runner);
    void removeFromService(const Runner& runner);
    void removeGoneRunners();
    /// Marks an entry as ended at a time.
    /// Whether an entry lacks the start time that its runner tells, so that another program has written it.
    static bool isOfAnotherWriter(const Runner& known, const RunnerEntry& entry);
    /// @param how The end of the entry for the log.
    void endEntry(Runner& runner, MonotonicTime at, std::string_view how = "ended");
    /// Updates the entries of a list, except copies that are older than what is known.
    /// @return The runners whose entries were used.
    std::set<UpstreamId> updateListed(std::vector<RunnerEntry> entries);
    /// Whether an entry that was read is a copy of one that this runner has replaced or ended.
    static bool isOldCopy(const Runner& known, const RunnerEntry& entry);
    void recordReportedLeaving(const VmId& vm, std::span<const LeavingRunner> leaving);
    /// Applies what is known of a runner's process to an entry that was read.
    void applyAnnouncement(RunnerEntry& entry) const;
    /// Longest time for which a request waits for its connection. Requests that were placed at a runner before it was
    /// found cold are diverted in it, and its first requests as a cold runner are placed after it.
    static constexpr std::chrono::milliseconds connectAllowance { 250 };

    /// Whether the runner is in a zone that is out of service.
    bool isEvacuated(const Runner& runner) const;
    /// Whether a request may be placed in a zone: it is in service and in the home regions.
    bool isZonePermitted(const ZoneId& zone, CandidateQuery& query) const;
    /// Why and since when a runner gets requests only if there is no other.
    struct Restriction {
        MonotonicTime since { 0 };
        /// Requests a second of all VMs; 0 if they are not limited.
        double rate = 0;
    };

    /// How a service treats its cold runners; without a limit if the service is unknown.
    ColdRule coldRule(const ServiceId& service) const;
    /// @return Nothing for a runner that is warm and has been in service for some time.
    std::optional<Restriction> restrictionOf(const Runner& runner, const ColdRule& rule) const;
    /// Time until this VM may send a request to a restricted runner; 0 if it may now.
    std::chrono::nanoseconds timeUntilAllowed(const Runner& runner, const Restriction& restriction) const;
    /// Whether the entry is of a runner in use, in a zone in service.
    bool isInUse(const Runner& runner, const ServiceId& service) const;
    /// From 0 to 1, different for each VM.
    double spreadOf(const Runner& runner) const;
    /// Whether any VM ordered the runner to load weights or is about to.
    bool isLoading(std::uint64_t hash) const;

    const Clock& m_clock;
    TimelineCommands& m_timeline;
    RunnerTableOptions m_options;
    RunnerRestrictions m_restrictions;
    std::map<UpstreamId, Runner> m_runners;
    /// The runners of each service, ordered by id.
    std::map<ServiceId, std::vector<Runner*>> m_runnersByService;
    /// The runners by hash of id.
    std::unordered_map<std::uint64_t, Runner*> m_runnersByHash;
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
