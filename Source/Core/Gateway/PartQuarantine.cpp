#include "Gateway/PartQuarantine.h"

#include "Gateway/ForwardTypes.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace Pollenwind {

namespace {

    // Two or three reports contain each piece of news, so that it gets through when a datagram is lost.
    constexpr unsigned newsSends = 3;

    // Interval of the list of quarantined parts, for VMs that lost the reports with the news.
    constexpr std::chrono::seconds listInterval { 5 };

    // Another VM gets the turn for a due trial after this time, since requests with the part may not reach the first.
    constexpr std::chrono::seconds turnLength { 5 };

    std::chrono::milliseconds toMilliseconds(MonotonicTime time)
    {
        return std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(time));
    }

    MonotonicTime trialInterval(unsigned trials)
    {
        MonotonicTime interval = PartQuarantine::firstTrialInterval;
        for (unsigned n = 0; n < trials && interval < PartQuarantine::idleLimit; ++n) {
            interval *= PartQuarantine::trialFactor;
        }
        return interval;
    }

} // namespace

PartQuarantine::PartQuarantine(
    const Clock& clock, TimelineCommands& timeline, MetricCommands& metrics, const TurnQueries& turns)
    : m_clock(clock)
    , m_timeline(timeline)
    , m_metrics(metrics)
    , m_turns(turns)
{
}

std::size_t PartQuarantine::size() const
{
    return m_suspects.size() + m_quarantined.size() + m_answered.size() + m_answeredBefore.size() + m_explained.size()
        + m_evidenceNews.size() + m_answerNews.size() + m_zoneAnswers.size();
}

void PartQuarantine::notifyNews() const
{
    if (m_onNews) {
        m_onNews();
    }
}

MonotonicTime PartQuarantine::answeredAt(PartId part) const
{
    for (const auto* generation : { &m_answered, &m_answeredBefore }) {
        if (const auto it = generation->find(part); it != generation->end()) {
            return it->second;
        }
    }
    return MonotonicTime(0);
}

void PartQuarantine::setAnswered(PartId part, MonotonicTime at)
{
    if (m_answered.size() >= maxAnswered && !m_answered.contains(part)) {
        m_answeredBefore = std::exchange(m_answered, {});
    }
    auto& known = m_answered[part];
    known = std::max(known, at);
}

void PartQuarantine::announceAnswer(PartId part, MonotonicTime at, bool isUrgent)
{
    m_answerNews.remove(part);
    m_answerNews.add({ { part, {} }, at, newsSends, isUrgent });
    m_zoneAnswers.remove(part);
    m_zoneAnswers.add({ { part, {} }, at, 1, isUrgent });
}

bool PartQuarantine::clear(PartId part, MonotonicTime at)
{
    setAnswered(part, at);
    m_suspects.removeCrashesUntil(part, at);
    const auto it = m_quarantined.find(part);
    if (it == m_quarantined.end() || at < it->second.firstCrashAt) {
        return false;
    }
    lift(part, "it was answered");
    return true;
}

void PartQuarantine::recordAnswer(std::span<const PartId> parts)
{
    const auto now = m_clock.now();
    for (const auto part : parts) {
        const bool wasSuspect = m_suspects.contains(part);
        const bool wasLifted = clear(part, now);
        if (wasSuspect || wasLifted) {
            announceAnswer(part, now, wasLifted);
        }
        if (wasLifted) {
            notifyNews();
        }
    }
}

void PartQuarantine::explain(std::uint64_t crash)
{
    if (std::ranges::find(m_explained, crash) != m_explained.end()) {
        return;
    }
    m_explained.push_back(crash);
    if (m_explained.size() > maxExplained) {
        m_explained.erase(m_explained.begin());
    }
    m_suspects.removeCrash(crash);
}

bool PartQuarantine::addEvidence(PartId part, std::uint64_t crash, MonotonicTime at)
{
    if (const auto it = m_quarantined.find(part); it != m_quarantined.end()) {
        auto& entry = it->second;
        entry.lastRequestAt = std::max(entry.lastRequestAt, at);
        // A part that another VM has named comes with its number of crashes, but not with their ids.
        const bool isCounted = at <= entry.quarantinedAt;
        const bool isNew = !isCounted && entry.crashes.size() < maxCrashesPerPart && entry.crashes.insert(crash).second;
        entry.crashCount += isNew ? 1 : 0;
        explain(crash);
        return isNew;
    }
    if (std::ranges::find(m_explained, crash) != m_explained.end()) {
        return false;
    }
    const auto answered = answeredAt(part);
    if (answered.count() > 0) {
        // Other VMs may not know this answer. It also counts for the choice among several parts if it was before the
        // crash.
        announceAnswer(part, answered, false);
    }
    if (answered >= at) {
        return false;
    }
    return m_suspects.add(part, crash, at);
}

std::vector<PartId> PartQuarantine::orderByEvidence(std::span<const PartId> parts, std::uint64_t crash) const
{
    using Rank = std::tuple<bool, std::size_t, bool, std::uint64_t, PartId>;
    std::vector<Rank> ranks;
    ranks.reserve(parts.size());
    for (const auto part : parts) {
        // Of more parts than can be reported, other ones are for each crash.
        ranks.emplace_back(m_quarantined.contains(part), m_suspects.crashesOf(part), answeredAt(part).count() == 0,
            XXH3_64bits_withSeed(&part, sizeof(part), crash), part);
    }
    std::ranges::sort(ranks, std::ranges::greater {});
    std::vector<PartId> ordered;
    ordered.reserve(ranks.size());
    std::ranges::transform(ranks, std::back_inserter(ordered), [](const Rank& it) { return std::get<4>(it); });
    return ordered;
}

void PartQuarantine::recordCrash(const std::string& runner, std::uint64_t crash, std::span<const PartId> parts)
{
    m_metrics.count(Counter::RunnerCrashesSeen);
    const auto now = m_clock.now();
    const auto ordered = orderByEvidence(parts, crash);
    std::size_t logged = 0;
    for (const auto part : ordered) {
        if (!addEvidence(part, crash, now)) {
            continue;
        }
        m_evidenceNews.add({ { part, crash, {} }, now, newsSends, true });
        if (++logged > maxLoggedSuspects) {
            continue;
        }
        const auto quarantined = m_quarantined.find(part);
        const auto crashes
            = quarantined == m_quarantined.end() ? m_suspects.crashesOf(part) : quarantined->second.crashCount;
        m_timeline.record(EventKind::PartSuspected,
            { { "part", partName(part) }, { "runner", runner }, { "crashes", std::to_string(crashes) },
                { "quarantined", quarantined == m_quarantined.end() ? "no" : "yes" },
                { "answered_before", answeredAt(part).count() > 0 ? "yes" : "no" } });
    }
    evaluate(ordered, true);
    notifyNews();
}

std::vector<PartId> PartQuarantine::mostLikelyCauses(std::span<const PartId> parts) const
{
    std::vector<PartId> causes;
    const auto isUnanswered = [this](PartId part) { return answeredAt(part).count() == 0; };
    for (const auto part : parts) {
        const auto* suspect = m_suspects.find(part);
        if (suspect && suspect->crashes.size() >= crashesToQuarantine
            && (isUnanswered(part) || suspect->span() >= minAnsweredSpan)) {
            causes.push_back(part);
        }
    }
    if (std::ranges::any_of(causes, isUnanswered)) {
        std::erase_if(causes, [&](PartId part) { return !isUnanswered(part); });
    }
    std::size_t most = 0;
    for (const auto part : causes) {
        most = std::max(most, m_suspects.crashesOf(part));
    }
    std::erase_if(causes, [&](PartId part) { return m_suspects.crashesOf(part) < most; });
    return causes;
}

void PartQuarantine::evaluate(std::span<const PartId> parts, bool isOwnEvidence)
{
    const auto now = m_clock.now();
    // A report names a part once for each of its crashes.
    std::vector<PartId> suspects(parts.begin(), parts.end());
    std::ranges::sort(suspects);
    const auto repeated = std::ranges::unique(suspects);
    suspects.erase(repeated.begin(), repeated.end());
    for (auto causes = mostLikelyCauses(suspects); !causes.empty(); causes = mostLikelyCauses(suspects)) {
        std::vector<std::uint64_t> explained;
        for (const auto part : causes) {
            Quarantine entry;
            entry.firstCrashAt = now;
            for (const auto& crash : m_suspects.find(part)->crashes) {
                entry.crashes.insert(crash.id);
                entry.firstCrashAt = std::min(entry.firstCrashAt, crash.at);
                explained.push_back(crash.id);
            }
            entry.crashCount = static_cast<unsigned>(entry.crashes.size());
            entry.quarantinedAt = now;
            entry.lastRequestAt = now;
            // Parts that always came together are told apart by the first request that has only one of them.
            entry.nextTrialAt = causes.size() > 1 ? now : now + firstTrialInterval;
            entry.sends = isOwnEvidence ? newsSends : 0;
            quarantine(part, std::move(entry), "crashes");
        }
        for (const auto crash : explained) {
            explain(crash);
        }
    }
}

void PartQuarantine::quarantine(PartId part, Quarantine entry, const char* source)
{
    if (m_quarantined.size() >= maxQuarantined && !m_quarantined.contains(part)) {
        const auto oldest = std::ranges::min_element(m_quarantined,
            [](const auto& a, const auto& b) { return a.second.lastRequestAt < b.second.lastRequestAt; });
        lift(oldest->first, "too many quarantined parts");
    }
    m_suspects.remove(part);
    m_metrics.count(Counter::PartsQuarantined);
    m_timeline.record(EventKind::PartQuarantined,
        { { "part", partName(part) }, { "source", source }, { "crashes", std::to_string(entry.crashCount) },
            { "trials", std::to_string(entry.trials) },
            { "first_crash_ms", std::to_string(toMilliseconds(m_clock.now() - entry.firstCrashAt).count()) } });
    m_quarantined[part] = std::move(entry);
}

void PartQuarantine::lift(PartId part, const char* cause)
{
    const auto it = m_quarantined.find(part);
    m_metrics.count(Counter::PartsLifted);
    m_timeline.record(EventKind::PartLifted,
        { { "part", partName(part) }, { "cause", cause }, { "crashes", std::to_string(it->second.crashCount) },
            { "trials", std::to_string(it->second.trials) },
            { "age_ms", std::to_string(toMilliseconds(m_clock.now() - it->second.quarantinedAt).count()) } });
    const auto crashes = std::move(it->second.crashes);
    m_quarantined.erase(it);
    for (auto& [other, entry] : m_quarantined) {
        // With this part cleared, a part that was quarantined for the same crashes has caused them.
        if (entry.trials == 0
            && std::ranges::any_of(crashes, [&](std::uint64_t crash) { return entry.crashes.contains(crash); })) {
            entry.nextTrialAt = std::max(entry.nextTrialAt, entry.quarantinedAt + firstTrialInterval);
        }
    }
}

QuarantinedPart PartQuarantine::describe(PartId part, const Quarantine& entry) const
{
    const auto now = m_clock.now();
    return { part, entry.crashCount, entry.trials, toMilliseconds(now - entry.quarantinedAt),
        toMilliseconds(now - entry.firstCrashAt), toMilliseconds(now - entry.lastRequestAt),
        toMilliseconds(entry.nextTrialAt - now) };
}

std::optional<QuarantinedPart> PartQuarantine::findQuarantined(std::span<const PartId> parts) const
{
    for (const auto part : parts) {
        if (const auto it = m_quarantined.find(part); it != m_quarantined.end()) {
            return describe(part, it->second);
        }
    }
    return std::nullopt;
}

bool PartQuarantine::isSuspected(std::span<const PartId> parts) const
{
    return std::ranges::any_of(
        parts, [this](PartId part) { return m_suspects.contains(part) && answeredAt(part).count() == 0; });
}

std::vector<QuarantinedPart> PartQuarantine::quarantinedParts() const
{
    std::vector<QuarantinedPart> parts;
    for (const auto& [part, entry] : m_quarantined) {
        parts.push_back(describe(part, entry));
    }
    return parts;
}

void PartQuarantine::recordRefusal(PartId part)
{
    m_metrics.count(Counter::QuarantineRefusals);
    if (const auto it = m_quarantined.find(part); it != m_quarantined.end()) {
        it->second.lastRequestAt = m_clock.now();
    }
}

std::optional<PartId> PartQuarantine::partToTry(std::span<const PartId> parts) const
{
    auto found = m_quarantined.end();
    for (const auto part : parts) {
        const auto it = m_quarantined.find(part);
        if (it == m_quarantined.end()) {
            continue;
        }
        if (found != m_quarantined.end()) {
            // Would not show which of the parts crashes the runner.
            return std::nullopt;
        }
        found = it;
    }
    const auto now = m_clock.now();
    if (found == m_quarantined.end() || now < found->second.nextTrialAt) {
        return std::nullopt;
    }
    const auto turn = static_cast<std::uint64_t>((now - found->second.nextTrialAt) / turnLength);
    return m_turns.isOwnTurn(found->first + turn) ? std::optional(found->first) : std::nullopt;
}

bool PartQuarantine::startTrial(std::span<const PartId> parts)
{
    const auto part = partToTry(parts);
    if (!part) {
        return false;
    }
    const auto now = m_clock.now();
    auto& entry = m_quarantined.find(*part)->second;
    ++entry.trials;
    entry.nextTrialAt = now + trialInterval(entry.trials);
    entry.lastRequestAt = now;
    entry.sends = newsSends;
    m_metrics.count(Counter::QuarantineTrials);
    m_timeline.record(EventKind::PartTried,
        { { "part", partName(*part) }, { "trials", std::to_string(entry.trials) },
            { "crashes", std::to_string(entry.crashCount) },
            { "age_ms", std::to_string(toMilliseconds(now - entry.quarantinedAt).count()) } });
    notifyNews();
    return true;
}

QuarantineReport PartQuarantine::takeReport()
{
    const auto now = m_clock.now();
    QuarantineReport report;
    report.evidence = m_evidenceNews.take(now, maxReportedEvidence, report.isNews);
    report.answers = m_answerNews.take(now, maxReported, report.isNews);
    const bool isListDue = now >= m_nextListAt;
    if (isListDue) {
        m_nextListAt = now + listInterval;
    }
    for (auto& [part, entry] : m_quarantined) {
        if ((isListDue || entry.sends > 0) && report.parts.size() < maxReported) {
            report.parts.push_back(describe(part, entry));
            report.isNews = report.isNews || entry.sends > 0;
            entry.sends -= std::min(1U, entry.sends);
        }
    }
    return report;
}

std::vector<PartAnswer> PartQuarantine::takeZoneAnswers()
{
    bool isNews = false;
    return m_zoneAnswers.take(m_clock.now(), maxReported, isNews);
}

void PartQuarantine::mergeReport(const QuarantineReport& report, bool isOfOwnZone)
{
    const auto now = m_clock.now();
    std::vector<PartId> newEvidence;
    for (const auto& it : report.evidence) {
        if (addEvidence(it.part, it.crash, now - it.age)) {
            newEvidence.push_back(it.part);
        }
    }
    for (const auto& it : report.answers) {
        m_answerNews.remove(it.part);
        clear(it.part, now - it.age);
        if (isOfOwnZone) {
            m_zoneAnswers.remove(it.part);
            m_zoneAnswers.add({ it, now - it.age, 1, false });
        }
    }
    evaluate(newEvidence, false);
    if (findQuarantined(newEvidence)) {
        // The sender may not have the earlier evidence, if it started after the first crashes.
        repeatParts();
    }
    for (const auto& it : report.parts) {
        const auto firstCrashAt = now - it.evidenceAge;
        const auto answered = answeredAt(it.part);
        if (answered >= firstCrashAt) {
            announceAnswer(it.part, answered, false);
            continue;
        }
        const auto known = m_quarantined.find(it.part);
        if (known == m_quarantined.end() && it.idle < idleLimit) {
            quarantine(it.part,
                { {}, it.crashes, it.trials, now - it.age, firstCrashAt, now - it.idle, now + it.untilTrial, 0 },
                "report");
        } else if (known != m_quarantined.end()) {
            auto& entry = known->second;
            entry.lastRequestAt = std::max(entry.lastRequestAt, now - it.idle);
            entry.crashCount = std::max(entry.crashCount, it.crashes);
            if (it.trials > entry.trials) {
                entry.trials = it.trials;
                entry.nextTrialAt = now + it.untilTrial;
            }
        }
    }
}

void PartQuarantine::adoptRecord(const PartRecord& record)
{
    const auto now = m_clock.now();
    const auto known = m_quarantined.find(record.part);
    if (known != m_quarantined.end()) {
        if (record.state == PartState::Lifted) {
            lift(record.part, "its record was lifted");
        } else if (record.trials > known->second.trials) {
            known->second.trials = record.trials;
            known->second.nextTrialAt = now + trialInterval(record.trials);
        }
        return;
    }
    // A part with a known answer is either cleared, or its evidence comes in reports.
    if (record.state == PartState::Quarantined && answeredAt(record.part).count() == 0) {
        quarantine(record.part,
            { {}, record.crashes, record.trials, now, now, now, now + trialInterval(record.trials), 0 }, "store");
    }
}

void PartQuarantine::removeExpired()
{
    const auto now = m_clock.now();
    m_suspects.removeOlder(now - suspectRetention);
    for (auto it = m_quarantined.begin(); it != m_quarantined.end();) {
        const auto& [part, entry] = *it++;
        if (now - entry.lastRequestAt > idleLimit) {
            lift(part, "no request with the part has come");
        }
    }
}

} // namespace Pollenwind
