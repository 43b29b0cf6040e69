#pragma once

#include "Gateway/Commands/RolloutCommands.h"
#include "Gateway/Queries/RolloutQueries.h"
#include "Gateway/StoreEraTracker.h"
#include "Gateway/VersionEvidenceRecorder.h"
#include "Metrics/Commands/MetricCommands.h"
#include "Moves/ExposureRamp.h"
#include "Moves/Queries/VersionEvaluator.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <deque>
#include <map>

namespace Pollenwind {

/// Limits of the roll-out table.
struct RolloutTableOptions {
    /// Requests that a version without a verdict may get, over the whole fleet.
    ExposureAllowance allowance;
    /// Part of the allowance that is used.
    double usedAllowance = 0.7;
};

/// The roll-outs of all services: orders, verdicts, evidence of all VMs, and the share of the target version.
///
/// The exposure of a version without a verdict is bounded without messages: each VM sends it at most its part of the
/// allowance, the share of its own requests and an equal part of the constant. The parts of all VMs add up to the
/// allowance whatever the VMs know of each other.
///
/// When the store comes back from a copy, orders have other positions, and verdicts may be lost or not yet given there.
/// An order keeps its identity, and a verdict is written again until the store has it. A VM that started after the
/// restore learns both from the records and from the reports of the others before it decides anything.
class RolloutTable final : public RolloutCommands, public RolloutQueries {
public:
    RolloutTable(
        const Clock& clock, TimelineCommands& timeline, MetricCommands& metrics, RolloutTableOptions options = {});

    void adoptOrder(const RolloutOrder& order, MonotonicTime orderedAfter) override;
    void withdrawOrder(const ServiceId& service) override;
    void adoptRecord(const RolloutRecord& record, std::int64_t revision) override;
    void endRead(std::int64_t position) override;
    void recordRemote(const VmId& vm, std::vector<RolloutReport> reports) override;
    void clearRemote(const VmId& vm) override;
    void refresh(bool isFresh, std::size_t fleetSize) override;
    RolloutAttemptId recordSent(
        const ServiceId& service, const VersionId& version, const std::string& route, double work) override;
    void recordOutput(RolloutAttemptId attempt) override;
    void recordEnded(RolloutAttemptId attempt, VersionResult result) override;

    std::vector<VersionRule> versionsFor(const ServiceId& service, const RequestId& request,
        const std::optional<PreviousAttempt>& previous) const override;
    std::vector<RolloutChange> dueChanges() const override;
    std::vector<RolloutReport> reports() const override;
    std::vector<RolloutReport> reportsOfZone(const std::vector<VmId>& zone) const override;

private:
    /// Requests of the whole fleet to a service.
    struct RequestCount {
        MonotonicTime at { 0 };
        std::uint64_t requests = 0;
    };

    struct Rollout {
        RolloutOrder order;
        /// Earliest time at which the order may have been given; 0 if that is not known.
        MonotonicTime orderedAfter { 0 };
        /// Whether the time was not observed by any VM in contact. It may then be wrong either way, and is not
        /// reported.
        bool isAgeEstimated = false;
        RolloutState state = RolloutState::Running;
        MonotonicTime decidedAt { 0 };
        /// Time at which the decision last changed.
        MonotonicTime actionAt { 0 };
        bool isWithdrawn = false;
        /// All known positions of the order's record. The first one is that of the order.
        std::set<std::int64_t> positions;
        /// Whether it may be an order of an earlier era, which this VM does not know.
        bool mayBeOlder = false;
        /// Record of the verdict, if this VM has received it.
        std::optional<RolloutRecord> verdict;
        /// Position at which the store is known to have had a verdict; 0 if none.
        std::int64_t verdictRevision = 0;
        /// Time until which the verdict is reported.
        MonotonicTime reportUntil { 0 };
        /// This VM's requests since the order.
        std::uint64_t requests = 0;
        std::uint64_t targetRequests = 0;
        /// Whether this VM was running when the order was given. A VM that was not may have used its part of the
        /// allowance's constant before it restarted.
        bool hasSlack = false;
        VersionEvidenceRecorder recorder;
        std::map<VmId, RolloutReport> remote;
        std::deque<RequestCount> counts;
        Evaluation evaluation;
        RampDecision decision;
    };

    struct KnownRecord {
        RolloutRecord record;
        std::int64_t revision = 0;
    };

    /// Takes over a position. After a restore, decisions wait for the reports of the other VMs.
    void updateEra(std::int64_t position);
    /// Whether an order's record is that of a known roll-out under another position.
    bool isSameOrder(const Rollout& rollout, const RolloutOrder& order) const;
    /// Whether an order was replaced before the store was restored, and came back with the copy.
    bool isReplaced(const RolloutOrder& order) const;
    void recordReplaced(const Rollout& rollout);
    static void addPosition(Rollout& rollout, std::int64_t position);
    /// Whether a record belongs to a roll-out.
    bool belongs(const RolloutRecord& record, const Rollout& rollout) const;
    /// Whether the store has lost the verdict of a roll-out.
    bool isVerdictLost(const Rollout& rollout) const;
    /// The record of a service if the store has it in the present era, or null.
    const KnownRecord* storedRecord(const ServiceId& service) const;
    bool isUndecided(const Rollout& rollout) const { return !isFinal(rollout.state); }
    /// Whether the target version may get no requests any more.
    static bool isRejected(const Rollout& rollout);
    void setState(Rollout& rollout, RolloutState state, const std::string& source);
    void applyRecord(const ServiceId& service);
    void evaluate(Rollout& rollout, bool isFresh);
    void logDecision(const Rollout& rollout, const RampState& state);
    RampState rampStateOf(Rollout& rollout) const;
    MoveEvidence pooledEvidence(const Rollout& rollout) const;
    std::chrono::nanoseconds ageOf(const Rollout& rollout) const;
    /// Requests that this VM may still send to the target version.
    double allowanceLeft(const Rollout& rollout) const;
    RolloutRecord nextRecord(const Rollout& rollout, RolloutState state) const;
    /// Versions of a service that were rolled back.
    std::set<VersionId> rejectedVersions(const ServiceId& service) const;

    const Clock& m_clock;
    TimelineCommands& m_timeline;
    MetricCommands& m_metrics;
    RolloutTableOptions m_options;
    ExposureRamp m_ramp;
    SequentialEvaluator m_evaluator;
    std::size_t m_fleetSize = 1;
    std::map<ServiceId, Rollout> m_rollouts;
    std::map<ServiceId, KnownRecord> m_records;
    std::map<ServiceId, std::set<VersionId>> m_rejected;
    std::uint64_t m_attempts = 0;

    StoreEraTracker m_era;
    /// Time of the last restore, as far as known.
    MonotonicTime m_restoredAt { 0 };
    /// Orders that were replaced by others, the latest last.
    std::map<ServiceId, std::deque<RolloutOrder>> m_replaced;
    /// Verdicts that the store has lost, for services without a known order.
    std::map<ServiceId, RolloutRecord> m_lost;
};

} // namespace Pollenwind
