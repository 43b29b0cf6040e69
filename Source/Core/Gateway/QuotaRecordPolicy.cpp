#include "Gateway/QuotaRecordPolicy.h"

namespace Pollenwind {

namespace {

    // Difference between the advance of the two clocks above which the time of day was changed. Clocks that are
    // synchronised gradually differ by far less.
    constexpr std::chrono::milliseconds maxClockStep { 300 };

    /// Subject of the turns to write, different from those of other records.
    constexpr std::uint64_t turnSubject = 0x71756f7461000000;

} // namespace

void QuotaRecordPolicy::setKnown(std::optional<QuotaRecord> record)
{
    m_known = std::move(record);
    if (m_startedWith && (!m_known || m_known->writtenAt != m_startedWith->writtenAt)) {
        m_startedWith.reset();
    }
}

bool QuotaRecordPolicy::updateWatch(double reachableShare)
{
    const auto now = m_clock.now();
    const auto wall = m_clock.wallNow();
    const auto elapsed = now - m_lookedAt;
    const auto step = std::chrono::abs(wall - m_lookedAtWall - elapsed);
    const bool isGap
        = m_lookedAt.count() == 0 || elapsed > maxLookInterval || step > maxClockStep || reachableShare < minKnownShare;
    m_lookedAt = now;
    m_lookedAtWall = wall;
    if (isGap) {
        m_watchedSince = now;
    }
    return now - m_watchedSince >= watchTime;
}

bool QuotaRecordPolicy::isKnownRecent(const QuotaRecord& next) const
{
    if (!m_known) {
        return false;
    }
    const auto age = next.writtenAt - m_known->writtenAt;
    // A record from further in the future was written with a wrong clock and is of no use.
    return age > -maxClockDifference && age < (next.hasContentOf(*m_known) ? repeatInterval : minInterval);
}

std::optional<QuotaRecord> QuotaRecordPolicy::due(
    const FleetQuota& quota, const TurnQueries& turns, StoreEra era, double reachableShare)
{
    const bool hasWatched = updateWatch(reachableShare);
    if (!hasWatched && !m_startedWith) {
        return std::nullopt;
    }
    const auto now = m_clock.now();
    const auto wall = m_clock.wallNow();
    const bool hasJustWritten = m_writtenAt.count() > 0 && now - m_writtenAt < minInterval;
    if (hasJustWritten || !turns.isOwnTurn(turnSubject + static_cast<std::uint64_t>(wall / turnLength))
        || (hasWatched && !quota.isInUse())) {
        return std::nullopt;
    }
    QuotaRecord record { wall, era };
    if (hasWatched) {
        record.rules = quota.rulesDigest();
        record.heavy = quota.heavyUsers(reachableShare);
    }
    if (record.heavy.size() > QuotaRecordCodec::maxOrganisations || isKnownRecent(record)) {
        return std::nullopt;
    }
    m_writtenAt = now;
    return record;
}

QuotaRecordUse QuotaRecordPolicy::useOf(
    const std::optional<QuotaRecord>& record, StoreEra era, std::uint64_t rules) const
{
    if (!record) {
        return QuotaRecordUse::Missing;
    }
    const auto age = m_clock.wallNow() - record->writtenAt;
    if (record->isSpent() && age <= maxSpentAge && age >= -maxClockDifference) {
        return QuotaRecordUse::Spent;
    }
    if (age > maxAge) {
        return QuotaRecordUse::Old;
    }
    if (age < -maxClockDifference) {
        return QuotaRecordUse::Future;
    }
    if (record->era != era) {
        return QuotaRecordUse::OtherEra;
    }
    return record->rules == rules ? QuotaRecordUse::Used : QuotaRecordUse::OtherRules;
}

} // namespace Pollenwind
