#include "Gateway/PartQuarantine.h"

#include "Gateway/ForwardTypes.h"

#include <algorithm>

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

    template <typename Entries> void eraseOldest(Entries& entries, std::size_t limit)
    {
        if (entries.size() > limit) {
            entries.erase(entries.begin(), entries.end() - static_cast<std::ptrdiff_t>(limit));
        }
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
    std::erase_if(m_answerNews, [part](const auto& it) { return it.item.part == part; });
    m_answerNews.push_back({ { part, {} }, at, newsSends, isUrgent });
    eraseOldest(m_answerNews, maxReported);
    m_zoneAnswers.push_back({ { part, {} }, at, 1, isUrgent });
    eraseOldest(m_zoneAnswers, maxReported);
}

bool PartQuarantine::clear(PartId part, MonotonicTime at)
{
    setAnswered(part, at);
    if (const auto it = m_suspects.find(part); it != m_suspects.end()) {
        std::erase_if(it->second.crashes, [at](const Crash& crash) { return crash.at <= at; });
        if (it->second.crashes.empty()) {
            m_suspects.erase(it);
        }
    }
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
    if (std::ranges::find(m_explained, crash) == m_explained.end()) {
        m_explained.push_back(crash);
        eraseOldest(m_explained, maxExplained);
    }
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        auto& crashes = it->second.crashes;
        std::erase_if(crashes, [crash](const Crash& known) { return known.id == crash; });
        it = crashes.empty() ? m_suspects.erase(it) : std::next(it);
    }
}

void PartQuarantine::removeOldestSuspect()
{
    const auto oldest = std::ranges::min_element(
        m_suspects, [](const auto& a, const auto& b) { return a.second.lastAt < b.second.lastAt; });
    if (oldest != m_suspects.end()) {
        m_suspects.erase(oldest);
    }
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
    if (m_suspects.size() >= maxSuspects && !m_suspects.contains(part)) {
        removeOldestSuspect();
    }
    auto& suspect = m_suspects[part];
    const bool isKnown
        = std::ranges::any_of(suspect.crashes, [crash](const Crash& known) { return known.id == crash; });
    if (isKnown || suspect.crashes.size() >= maxCrashesPerPart) {
        return false;
    }
    suspect.crashes.push_back({ crash, at });
    suspect.lastAt = std::max(suspect.lastAt, at);
    return true;
}

void PartQuarantine::recordCrash(const std::string& runner, std::uint64_t crash, std::span<const PartId> parts)
{
    m_metrics.count(Counter::RunnerCrashesSeen);
    const auto now = m_clock.now();
    // A quarantined part explains the crash before it counts against the others.
    std::vector<PartId> ordered(parts.begin(), parts.end());
    std::ranges::partition(ordered, [this](PartId part) { return m_quarantined.contains(part); });
    for (const auto part : ordered) {
        if (!addEvidence(part, crash, now)) {
            continue;
        }
        m_evidenceNews.push_back({ { part, crash, {} }, now, newsSends, true });
        const auto quarantined = m_quarantined.find(part);
        const auto crashes
            = quarantined == m_quarantined.end() ? m_suspects.at(part).crashes.size() : quarantined->second.crashCount;
        m_timeline.record(EventKind::PartSuspected,
            { { "part", partName(part) }, { "runner", runner }, { "crashes", std::to_string(crashes) },
                { "quarantined", quarantined == m_quarantined.end() ? "no" : "yes" },
                { "answered_before", answeredAt(part).count() > 0 ? "yes" : "no" } });
    }
    eraseOldest(m_evidenceNews, maxReported);
    evaluate(true);
    notifyNews();
}

std::chrono::nanoseconds PartQuarantine::Suspect::span() const
{
    const auto [first, last] = std::ranges::minmax_element(crashes, {}, &Crash::at);
    return first == crashes.end() ? std::chrono::nanoseconds(0) : last->at - first->at;
}

std::vector<PartId> PartQuarantine::mostLikelyCauses() const
{
    std::vector<PartId> causes;
    const auto isUnanswered = [this](PartId part) { return answeredAt(part).count() == 0; };
    for (const auto& [part, suspect] : m_suspects) {
        if (suspect.crashes.size() >= crashesToQuarantine
            && (isUnanswered(part) || suspect.span() >= minAnsweredSpan)) {
            causes.push_back(part);
        }
    }
    if (std::ranges::any_of(causes, isUnanswered)) {
        std::erase_if(causes, [&](PartId part) { return !isUnanswered(part); });
    }
    std::size_t most = 0;
    for (const auto part : causes) {
        most = std::max(most, m_suspects.at(part).crashes.size());
    }
    std::erase_if(causes, [&](PartId part) { return m_suspects.at(part).crashes.size() < most; });
    return causes;
}

void PartQuarantine::evaluate(bool isOwnEvidence)
{
    const auto now = m_clock.now();
    for (auto causes = mostLikelyCauses(); !causes.empty(); causes = mostLikelyCauses()) {
        std::vector<std::uint64_t> explained;
        for (const auto part : causes) {
            Quarantine entry;
            entry.firstCrashAt = now;
            for (const auto& crash : m_suspects.at(part).crashes) {
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
    m_suspects.erase(part);
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
    for (auto& it : m_evidenceNews) {
        it.item.age = toMilliseconds(now - it.at);
        report.evidence.push_back(it.item);
        report.isNews = report.isNews || it.isUrgent;
        --it.sends;
    }
    for (auto& it : m_answerNews) {
        it.item.age = toMilliseconds(now - it.at);
        report.answers.push_back(it.item);
        report.isNews = report.isNews || it.isUrgent;
        --it.sends;
    }
    std::erase_if(m_evidenceNews, [](const auto& it) { return it.sends == 0; });
    std::erase_if(m_answerNews, [](const auto& it) { return it.sends == 0; });
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
    std::vector<PartAnswer> answers;
    for (const auto& it : std::exchange(m_zoneAnswers, {})) {
        answers.push_back({ it.item.part, toMilliseconds(m_clock.now() - it.at) });
    }
    return answers;
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
        std::erase_if(m_answerNews, [&it](const auto& own) { return own.item.part == it.part; });
        clear(it.part, now - it.age);
        if (isOfOwnZone) {
            m_zoneAnswers.push_back({ it, now - it.age, 1, false });
        }
    }
    eraseOldest(m_zoneAnswers, maxReported);
    evaluate(false);
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
    std::erase_if(m_suspects, [now](const auto& it) { return now - it.second.lastAt > suspectRetention; });
    for (auto it = m_quarantined.begin(); it != m_quarantined.end();) {
        const auto& [part, entry] = *it++;
        if (now - entry.lastRequestAt > idleLimit) {
            lift(part, "no request with the part has come");
        }
    }
}

} // namespace Pollenwind
