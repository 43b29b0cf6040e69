#include "Moves/MoveTable.h"

#include <xxhash.h>

#include <algorithm>

namespace Pollenwind {

namespace {

    // A router that cannot see the move's state must not go on using a version that may have been rolled back.
    constexpr std::chrono::seconds maxRecordAge { 3 };

    // A crashed engine breaks all of its streams; only one of them counts as a failure of the version.
    constexpr std::chrono::seconds lossWindow { 10 };

    EventKind eventOf(MoveState state)
    {
        switch (state) {
        case MoveState::Preparing:
            return EventKind::MoveOrdered;
        case MoveState::Done:
            return EventKind::MoveDone;
        case MoveState::RolledBack:
            return EventKind::MoveRolledBack;
        default:
            return EventKind::MoveStep;
        }
    }

    AnswerOutcome answerOf(const VersionOutcome& outcome)
    {
        return { outcome.isComplete, outcome.firstToken, outcome.betweenTokens, outcome.computedTokens };
    }

} // namespace

MoveTable::MoveTable(
    const Clock& clock, const RecordFreshness& freshness, const VersionEvaluator& evaluator, TimelineCommands& timeline)
    : m_clock(clock)
    , m_freshness(freshness)
    , m_evaluator(evaluator)
    , m_timeline(timeline)
{
}

void MoveTable::adopt(std::int64_t revision, MoveRecord record)
{
    auto& entry = m_entries[record.service];
    if (revision <= entry.move.revision) {
        return;
    }
    if (record.id != entry.move.record.id) {
        entry = {};
    }
    m_timeline.record(eventOf(record.state),
        { { "service", record.service.value() }, { "to", record.to.value() },
            { "state", std::string(nameOf(record.state)) }, { "step", std::to_string(record.step) },
            { "reason", std::string(nameOf(record.reason)) } });
    entry.move = { revision, std::move(record) };
}

bool MoveTable::isRepeatedLoss(Entry& entry, const VersionOutcome& outcome) const
{
    if (!outcome.isConnectionLost) {
        return false;
    }
    const auto now = m_clock.now();
    const auto [it, isFirst] = entry.lostConnections.emplace(outcome.upstream, now);
    if (!isFirst && now - it->second < lossWindow) {
        return true;
    }
    it->second = now;
    return false;
}

void MoveTable::recordOutcome(const VersionOutcome& outcome)
{
    const auto it = m_entries.find(outcome.service);
    if (it == m_entries.end() || isFinal(it->second.move.record.state)) {
        return;
    }
    auto& entry = it->second;
    const auto& record = entry.move.record;
    if (isRepeatedLoss(entry, outcome)) {
        return;
    }
    if (outcome.version == record.from) {
        entry.own.oldVersion[outcome.route].add(answerOf(outcome));
    } else if (outcome.version == record.to) {
        entry.own.newVersion[outcome.route].add(answerOf(outcome));
        entry.isRejectedLocally = entry.isRejectedLocally || m_evaluator.evaluate(entry.own).fault != MoveReason::None;
    }
}

void MoveTable::setPeerEvidence(const VmId& vm, const MoveId& move, MoveEvidence evidence)
{
    for (auto& [service, entry] : m_entries) {
        if (entry.move.record.id == move) {
            entry.peers[vm] = std::move(evidence);
            return;
        }
    }
}

VersionId MoveTable::versionFor(
    const ServiceId& service, const VersionId& configured, const RequestId& request, bool isIdempotent) const
{
    const auto it = m_entries.find(service);
    if (it == m_entries.end()) {
        return configured;
    }
    const auto& record = it->second.move.record;
    if (record.state == MoveState::Done) {
        return record.to;
    }
    // Non-idempotent calls use the new version only after it has served idempotent ones for a while.
    const bool isEligible
        = record.state == MoveState::Confirming || (record.state == MoveState::Shifting && isIdempotent);
    const bool isNewAllowed = isEligible && !it->second.isRejectedLocally && m_freshness.age() <= maxRecordAge;
    if (!isNewAllowed) {
        return record.from;
    }
    const auto& name = request.value();
    const auto share = moveShareAt(record.step);
    return XXH3_64bits(name.data(), name.size()) % 1000 < share ? record.to : record.from;
}

std::vector<KnownMove> MoveTable::moves() const
{
    std::vector<KnownMove> all;
    for (const auto& [service, entry] : m_entries) {
        all.push_back(entry.move);
    }
    return all;
}

const MoveEvidence* MoveTable::ownEvidence(const ServiceId& service) const
{
    const auto it = m_entries.find(service);
    return it == m_entries.end() || isFinal(it->second.move.record.state) ? nullptr : &it->second.own;
}

MoveEvidence MoveTable::pooledEvidence(const ServiceId& service) const
{
    MoveEvidence pooled;
    const auto it = m_entries.find(service);
    if (it != m_entries.end()) {
        pooled = it->second.own;
        for (const auto& [vm, evidence] : it->second.peers) {
            pooled.add(evidence);
        }
    }
    return pooled;
}

} // namespace Pollenwind
