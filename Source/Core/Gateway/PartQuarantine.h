#pragma once

#include "Common/Clock.h"
#include "Gateway/Commands/QuarantineCommands.h"
#include "Gateway/PartSuspects.h"
#include "Gateway/QuarantineNews.h"
#include "Gateway/Queries/QuarantineQueries.h"
#include "Gateway/Queries/TurnQueries.h"
#include "Metrics/Commands/MetricCommands.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace Pollenwind {

/// Names the parts of prompts that crash runners, from the requests that lost a crashed runner before their answer was
/// proven.
///
/// A runner may write the first events of an answer on such a part before it ends. Only a proven answer, one that is
/// whole or has gone on for some time, clears the parts of its request. A part is quarantined after crashes of several
/// runners since its last answer. Of the parts that these crashes have in common, those on which no answer is known are
/// preferred; the crashes then no longer count against the other parts.
///
/// The crashes are counted over the fleet: the VMs exchange evidence, answers and quarantined parts in their reports.
/// A quarantine ends when an answer on the part is proven, which trials at growing intervals allow, or when no request
/// with the part has come for a long time.
class PartQuarantine final : public QuarantineCommands, public QuarantineQueries {
public:
    /// Crashes of distinct runner processes after which a part is quarantined. Two can hit a sound part by chance when
    /// a request is repeated.
    static constexpr std::size_t crashesToQuarantine = 3;

    /// Shortest time from the first to the last of these crashes for a part with a known answer. A cut zone or a failed
    /// rack ends many runners at once, and common parts are lost at several of them.
    static constexpr std::chrono::seconds minAnsweredSpan { 2 };

    /// Bounds of memory, for all organisations and prompts together. Suspects with the fewest crashes are evicted
    /// first, other entries oldest first.
    static constexpr std::size_t maxSuspects = PartSuspects::maxParts;
    static constexpr std::size_t maxQuarantined = 64;
    static constexpr std::size_t maxCrashesPerPart = PartSuspects::maxCrashesPerPart;
    /// Parts with a known answer, in each of two generations. Most parts of a long conversation are its own and are
    /// answered as often as those that are shared; at 40 such prompts a second a shared part stays known for 20 s.
    static constexpr std::size_t maxAnswered = 16'384;
    static constexpr std::size_t maxExplained = 64;
    /// Bound of each list in one report, at most 40 bytes an entry, except for evidence.
    static constexpr std::size_t maxReported = 32;
    /// Bound of the evidence in one report, 24 bytes an entry: three prompts of 21 parts.
    static constexpr std::size_t maxReportedEvidence = 64;
    /// Bound of the log lines about the parts that were lost in one crash, those with the most crashes.
    static constexpr std::size_t maxLoggedSuspects = 32;

    /// Time until the first trial; each later interval is `trialFactor` times as long.
    static constexpr std::chrono::seconds firstTrialInterval { 20 };
    static constexpr int trialFactor = 3;
    /// Time without a request with the part after which its quarantine ends.
    static constexpr std::chrono::minutes idleLimit { 30 };
    /// Time after which the evidence against a part is dropped.
    static constexpr std::chrono::minutes suspectRetention { 10 };

    PartQuarantine(const Clock& clock, TimelineCommands& timeline, MetricCommands& metrics, const TurnQueries& turns);

    void recordCrash(const std::string& runner, std::uint64_t crash, std::span<const PartId> parts) override;
    void recordAnswer(std::span<const PartId> parts) override;
    void recordRefusal(PartId part) override;
    bool startTrial(std::span<const PartId> parts) override;
    void repeatParts() override { m_nextListAt = MonotonicTime(0); }
    QuarantineReport takeReport() override;
    std::vector<PartAnswer> takeZoneAnswers() override;
    void mergeReport(const QuarantineReport& report, bool isOfOwnZone) override;
    void adoptRecord(const PartRecord& record) override;

    std::optional<QuarantinedPart> findQuarantined(std::span<const PartId> parts) const override;
    bool isTrialDue(std::span<const PartId> parts) const override { return partToTry(parts).has_value(); }
    bool isSuspected(std::span<const PartId> parts) const override;
    std::vector<QuarantinedPart> quarantinedParts() const override;

    /// Ends quarantines and drops evidence that are too old.
    void removeExpired();

    /// Sets a handler that is called when other VMs should get a report at once.
    void onNews(std::function<void()> handler) { m_onNews = std::move(handler); }

    /// Number of entries that are kept at present.
    std::size_t size() const;

private:
    /// The quarantined part that a request with the parts may test now, if any.
    std::optional<PartId> partToTry(std::span<const PartId> parts) const;
    struct Quarantine {
        std::set<std::uint64_t> crashes;
        /// Number of crashes, from this VM's evidence or from another VM.
        unsigned crashCount = 0;
        unsigned trials = 0;
        MonotonicTime quarantinedAt { 0 };
        MonotonicTime firstCrashAt { 0 };
        MonotonicTime lastRequestAt { 0 };
        MonotonicTime nextTrialAt { 0 };
        /// Reports in which the part is still to be sent as news.
        unsigned sends = 0;
    };
    /// @return Whether the evidence is new and counts.
    bool addEvidence(PartId part, std::uint64_t crash, MonotonicTime at);
    /// Counts a crash against the quarantined part that caused it only.
    void explain(std::uint64_t crash);
    /// Parts of lost requests, in the order in which they are reported: quarantined parts, which explain the crash
    /// before it counts against the others, then those with the most earlier crashes, and those without an answer.
    std::vector<PartId> orderByEvidence(std::span<const PartId> parts, std::uint64_t crash) const;
    /// Quarantines those of the parts with new evidence that have enough of it.
    /// @param isOwnEvidence Whether this VM observed the last crash, so that it tells the others.
    void evaluate(std::span<const PartId> parts, bool isOwnEvidence);
    /// Of the parts with enough evidence, those that most likely caused the crashes.
    /// @param parts Distinct parts.
    std::vector<PartId> mostLikelyCauses(std::span<const PartId> parts) const;
    void quarantine(PartId part, Quarantine entry, const char* source);
    void lift(PartId part, const char* cause);
    /// Time of the last known answer on a part, or 0.
    MonotonicTime answeredAt(PartId part) const;
    void setAnswered(PartId part, MonotonicTime at);
    void announceAnswer(PartId part, MonotonicTime at, bool isUrgent);
    /// Drops the evidence up to a time at which an answer was proven, and lifts the quarantine that rests on it.
    /// @return Whether a quarantine was lifted.
    bool clear(PartId part, MonotonicTime at);
    QuarantinedPart describe(PartId part, const Quarantine& entry) const;
    void notifyNews() const;

    const Clock& m_clock;
    TimelineCommands& m_timeline;
    MetricCommands& m_metrics;
    const TurnQueries& m_turns;
    std::function<void()> m_onNews;

    PartSuspects m_suspects;
    std::map<PartId, Quarantine> m_quarantined;
    /// Times of the last known answers. Two generations bound the memory without an order of use.
    std::unordered_map<PartId, MonotonicTime> m_answered;
    std::unordered_map<PartId, MonotonicTime> m_answeredBefore;
    /// Crashes caused by quarantined parts, the oldest first.
    std::vector<std::uint64_t> m_explained;

    QuarantineNews<CrashEvidence> m_evidenceNews;
    QuarantineNews<PartAnswer> m_answerNews;
    /// Answers known in this zone, for the other zones.
    QuarantineNews<PartAnswer> m_zoneAnswers;
    MonotonicTime m_nextListAt { 0 };
};

} // namespace Pollenwind
