#include "Gateway/FleetQuota.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <set>

namespace Pollenwind {

namespace {

    // A new process does not know what was taken just before. A full bucket would allow a second burst.
    constexpr double initialLevelShare = 0.25;

    // A request larger than the burst is admitted if the bucket is nearly full, and leaves a debt.
    constexpr double maxNeededShare = 0.9;

    // What an organisation at 4.2 times its rate takes from the VMs of a large fleet before they receive each other's
    // reports, in seconds of its rate. Reports between zones take up to a second.
    constexpr double unreportedSeconds = 1.9;

    // Debt after a second restart of all VMs in a few seconds: also what an organisation at 4.2 times its rate has
    // taken from a start without a debt, together with its callers who came back.
    constexpr double repeatedDebtSeconds = 2.0;

    // Start level and capacity of a bucket on probation, in seconds of the rate. Callers whose requests were cut off
    // come back with about half a second of usual use, more than the burst that a large fleet may use of a high rate.
    // With the whole burst of a low rate, an organisation that the record misses could exceed its tolerance before the
    // reports show it.
    constexpr double probationSeconds = 0.7;

    // Share of the rate from which the use in a second is heavy.
    constexpr double heavyShare = 0.8;
    // Share of the usable burst by which the use in one second may be higher, since requests are few and large and
    // reports arrive in lumps, and below which a level is low.
    constexpr double heavyBurstShare = 0.5;
    // Tokens of this time may be missing in a sound bucket because a relay's report has just arrived, in seconds of the
    // rate.
    constexpr double reportLumpSeconds = 0.15;

    // Part of the burst that the buckets of a large fleet hold in any case.
    constexpr double minBurstShare = 0.2;

    // Time after the start in which the levels of other VMs are taken over. Afterwards the buckets contain the use that
    // the other VMs report.
    constexpr std::chrono::milliseconds learningTime { 3000 };

    // Processes that are started together, e.g. after a loss of power, start within this time.
    constexpr std::chrono::milliseconds startSpread { 1000 };

    // Time after the start from which the reserve is used: the records and reports of the other VMs have arrived.
    constexpr std::chrono::milliseconds reserveStart { 500 };

    // Debt, in seconds of the rate, from which the reserve admits nothing: what an organisation far over its rate takes
    // before reports arrive, and the debt of a start. A request larger than a VM's part of the reserve is admitted
    // there whole, so that many VMs could exceed a low rate by many large requests.
    constexpr double deepestReserveDebt = 2.5;

    // Smallest reachable share that is told apart from none.
    constexpr double minShare = 1e-4;

    // Longest backlog of an organisation, in seconds of its rate. It is the same for requests of all sizes and kinds,
    // so that those that may wait longer do not keep the tokens from the others.
    constexpr double maxBacklogSeconds = 0.1;

    constexpr std::chrono::milliseconds minRetryAfter { 50 };

    std::uint64_t hashOf(const OrganisationId& organisation)
    {
        return XXH3_64bits(organisation.value().data(), organisation.value().size());
    }

    double fullBurst(const OrganisationRule& organisation)
    {
        return std::max(organisation.burst, organisation.rate / 4);
    }

    /// Digest of an organisation's keys, rate and burst. The order of the keys has no effect.
    std::uint64_t rulesOf(const OrganisationRule& organisation, std::uint64_t hash)
    {
        std::uint64_t keys = 0;
        for (const auto& digest : organisation.keyDigests) {
            keys += XXH3_64bits(digest.data(), digest.size());
        }
        const std::array<std::uint64_t, 4> fields { hash, keys, std::bit_cast<std::uint64_t>(organisation.rate),
            std::bit_cast<std::uint64_t>(organisation.burst) };
        return XXH3_64bits(fields.data(), sizeof fields);
    }

} // namespace

double FleetQuota::Bucket::capacity() const { return isOnProbation ? probationBurst() : burst; }

double FleetQuota::Bucket::probationBurst() const { return probationSeconds * rate; }

void FleetQuota::Bucket::refill(MonotonicTime now, double share)
{
    const double elapsed = std::chrono::duration<double>(now - refilledAt).count();
    level = std::min(capacity() * share, level + elapsed * rate * share);
    refilledAt = now;
}

double FleetQuota::largeBurst(const OrganisationRule& organisation) const
{
    const double full = fullBurst(organisation);
    const double window = std::chrono::duration<double>(m_tolerance.window).count();
    const double tolerated
        = m_tolerance.overage * (organisation.rate * window + organisation.burst) + m_tolerance.slack;
    const double heldBack = std::max(0.0, unreportedSeconds * organisation.rate - tolerated);
    return std::max(full - heldBack, full * minBurstShare);
}

FleetQuota::Bucket& FleetQuota::bucketOf(const OrganisationRule& organisation, std::uint64_t hash)
{
    const auto [it, isNew] = m_buckets.try_emplace(hash);
    auto& bucket = it->second;
    bucket.largeBurst = largeBurst(organisation);
    const double burst = m_isLargeFleet ? bucket.largeBurst : fullBurst(organisation);
    if (isNew) {
        bucket.level = burst * m_share * initialLevelShare;
        bucket.rate = organisation.rate;
        bucket.burst = burst;
        bucket.refilledAt = m_startedAt;
    }
    bucket.refill(m_clock.now(), m_share);
    bucket.rate = organisation.rate;
    bucket.burst = burst;
    bucket.level = std::min(bucket.level, bucket.capacity() * m_share);
    return bucket;
}

void FleetQuota::startInLargeFleet(std::uint64_t hash, Bucket& bucket) const
{
    bucket.refill(m_clock.now(), m_share);
    const bool isHeavy = !m_heavyBefore || m_heavyBefore->contains(hash);
    if (!isHeavy) {
        // Counts what was taken since the start.
        bucket.level += (bucket.probationBurst() - bucket.burst * initialLevelShare) * m_share;
        bucket.isOnProbation = true;
        return;
    }
    const double uptime = std::chrono::duration<double>(m_clock.now() - m_startedAt).count();
    bucket.level = std::min(bucket.level, bucket.rate * m_share * (uptime - m_startDebt));
}

void FleetQuota::setLargeFleet(bool isLargeFleet)
{
    if (isLargeFleet && !m_isLargeFleet && m_clock.now() - m_startedAt < learningTime) {
        for (auto& [hash, bucket] : m_buckets) {
            startInLargeFleet(hash, bucket);
        }
    }
    m_isLargeFleet = isLargeFleet;
}

void FleetQuota::startAfterRepeatedRestart()
{
    m_startDebt = repeatedDebtSeconds;
    for (auto& [hash, bucket] : m_buckets) {
        if (m_isLargeFleet) {
            startInLargeFleet(hash, bucket);
        }
    }
}

std::size_t FleetQuota::startWithRecentUse(std::set<std::uint64_t> heavy)
{
    m_heavyBefore = std::move(heavy);
    m_probationFrom = m_clock.now();
    std::size_t count = 0;
    for (auto& [hash, bucket] : m_buckets) {
        if (m_heavyBefore->contains(hash)) {
            continue;
        }
        ++count;
        if (m_isLargeFleet) {
            bucket.level = bucket.probationBurst() * m_share;
            bucket.refilledAt = m_clock.now();
            bucket.isOnProbation = true;
        }
    }
    return count;
}

bool FleetQuota::isBacklogged(const Bucket& bucket) const
{
    return bucket.level < -maxBacklogSeconds * bucket.rate * m_share;
}

void FleetQuota::updateProbation(Bucket& bucket)
{
    if (!bucket.isOnProbation) {
        return;
    }
    if (isBacklogged(bucket)) {
        bucket.level -= (startDebtSeconds * bucket.rate + bucket.probationBurst()) * m_share;
        bucket.isOnProbation = false;
        ++m_failedProbations;
    } else if (m_clock.now() - m_probationFrom > m_tolerance.window) {
        bucket.isOnProbation = false;
    }
}

std::size_t FleetQuota::probationCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_buckets, [](const auto& it) { return it.second.isOnProbation; }));
}

std::vector<std::uint64_t> FleetQuota::heavyUsers(double knownShare) const
{
    const auto now = m_clock.now();
    std::vector<std::uint64_t> heavy;
    for (const auto& [hash, bucket] : m_buckets) {
        auto current = bucket;
        current.refill(now, m_share);
        const double reserve = heavyBurstShare * bucket.largeBurst;
        const bool isLow = current.level < (reserve - reportLumpSeconds * bucket.rate) * m_share;
        const double limit = heavyShare * bucket.rate + reserve;
        if (isLow || bucket.use.mostInOneSecond(now) > limit * knownShare) {
            heavy.push_back(hash);
        }
    }
    return heavy;
}

bool FleetQuota::isInUse() const
{
    return std::ranges::any_of(m_buckets, [this](const auto& it) { return it.second.use.isInUse(m_clock.now()); });
}

void FleetQuota::setReachableShare(double share)
{
    if (share == m_share) {
        return;
    }
    const double growth = share / std::max(m_share, minShare);
    for (auto& [hash, bucket] : m_buckets) {
        bucket.refill(m_clock.now(), m_share);
        if (bucket.level > 0) {
            // Parts of the fleet that meet again add up what each has left.
            bucket.level *= growth;
        }
    }
    m_share = share;
}

void FleetQuota::setOrganisations(std::span<const OrganisationRule> organisations)
{
    std::set<std::uint64_t> known;
    std::map<std::uint64_t, std::uint64_t> rules;
    for (const auto& organisation : organisations) {
        if (organisation.rate > 0) {
            const auto hash = hashOf(organisation.id);
            known.insert(hash);
            bucketOf(organisation, hash);
            rules.emplace(hash, rulesOf(organisation, hash));
        }
    }
    m_rulesDigest = 0;
    for (const auto& [hash, digest] : rules) {
        m_rulesDigest = XXH3_64bits_withSeed(&digest, sizeof digest, m_rulesDigest);
    }
    std::erase_if(m_buckets, [&known](const auto& it) { return !known.contains(it.first); });
    m_reserve.keepOnly(known);
}

Outcome<MonotonicTime> FleetQuota::take(const OrganisationRule& organisation, const QuotaDemand& demand)
{
    const auto now = m_clock.now();
    if (organisation.rate <= 0) {
        return now;
    }
    const auto hash = hashOf(organisation.id);
    auto& bucket = bucketOf(organisation, hash);
    const double needed = std::min(demand.tokens, bucket.burst * m_share * maxNeededShare);
    std::chrono::duration<double> wait(std::max(0.0, needed - bucket.level) / std::max(1.0, bucket.rate * m_share));
    const bool isOverRate = wait > demand.maxWait || isBacklogged(bucket);
    if (isOverRate && takeReserve(hash, bucket, demand)) {
        wait = {};
    } else if (isOverRate) {
        Error error { ErrorCode::RateExceeded,
            "the token rate of " + organisation.id.value() + " is exceeded: level "
                + std::to_string(std::lround(bucket.level)) + ", needed " + std::to_string(std::lround(needed))
                + ", reachable share " + std::to_string(m_share) };
        // Requests that are refused together come back over as long a time again, not all at once.
        const auto retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(wait * (1 + demand.spread));
        error.retryAfter = std::max(minRetryAfter, retryAfter);
        return std::unexpected(std::move(error));
    }
    bucket.level -= demand.tokens;
    bucket.use.add(now, demand.tokens);
    bucket.ownUse.add(now, demand.tokens);
    updateProbation(bucket);
    m_ownTotals[hash] += demand.tokens;
    m_zoneTotals[hash] += demand.tokens;
    return now + std::chrono::duration_cast<std::chrono::nanoseconds>(wait);
}

bool FleetQuota::takeReserve(std::uint64_t hash, const Bucket& bucket, const QuotaDemand& demand)
{
    const auto now = m_clock.now();
    // A process that has just started does not know the fleet yet.
    if (!demand.mayUseReserve || !m_isLargeFleet || m_vms == 0 || now - m_startedAt < reserveStart
        || bucket.level < -deepestReserveDebt * bucket.rate * m_share) {
        return false;
    }
    return m_reserve.take(
        now, hash, bucket.rate * m_share, { bucket.ownUse.sum(now), bucket.use.sum(now) }, m_vms, demand.tokens);
}

void FleetQuota::takeRemote(std::uint64_t hash, double tokens)
{
    if (const auto bucket = m_buckets.find(hash); bucket != m_buckets.end()) {
        // Refilled first: a later refill, capped at the burst, would otherwise cancel these tokens in a bucket that is
        // already full by now.
        bucket->second.refill(m_clock.now(), m_share);
        bucket->second.level -= tokens;
        bucket->second.use.add(m_clock.now(), tokens);
        updateProbation(bucket->second);
    }
}

void FleetQuota::recordRemoteUsage(const VmId& vm, Incarnation incarnation, const UsageTotals& totals, bool isOfOwnZone,
    std::chrono::nanoseconds uptime)
{
    const auto now = m_clock.now();
    // The totals of the first report may have been taken long ago, unless the process has started with this one.
    const bool isYoung = uptime.count() > 0 && uptime <= now - m_startedAt + startSpread;
    const auto [it, isNew] = m_remotes.try_emplace(vm, RemoteUsage { incarnation, {}, now });
    if (isNew && !isYoung) {
        it->second.totals = totals;
        return;
    }
    auto& remote = it->second;
    if (remote.incarnation != incarnation) {
        remote.totals.clear();
        remote.incarnation = incarnation;
    }
    // A process or a term of a relay that began meanwhile has used its share since then only.
    auto ownShareTime = now - remote.reportedAt;
    if (uptime.count() > 0) {
        ownShareTime = std::min<std::chrono::nanoseconds>(ownShareTime, uptime);
    }
    const double ownShareSeconds = remote.silentShare * std::chrono::duration<double>(ownShareTime).count();
    for (const auto& [hash, total] : totals) {
        auto& known = remote.totals[hash];
        double taken = total - known;
        if (taken <= 0) {
            continue;
        }
        known = total;
        if (ownShareSeconds > 0) {
            const auto bucket = m_buckets.find(hash);
            const double rate = bucket == m_buckets.end() ? 0 : bucket->second.rate;
            taken = std::max(0.0, taken - ownShareSeconds * rate);
        }
        if (isOfOwnZone) {
            m_zoneTotals[hash] += taken;
        }
        takeRemote(hash, taken);
    }
    remote.reportedAt = now;
    remote.silentShare = 0;
}

UsageTotals FleetQuota::lowLevels() const
{
    UsageTotals levels;
    const auto now = m_clock.now();
    for (const auto& [hash, bucket] : m_buckets) {
        auto current = bucket;
        current.refill(now, m_share);
        if (current.level < bucket.burst * m_share * initialLevelShare) {
            levels.emplace(hash, current.level);
        }
    }
    return levels;
}

void FleetQuota::recordRemoteLevels(const UsageTotals& levels)
{
    const auto now = m_clock.now();
    if (now - m_startedAt > learningTime) {
        return;
    }
    for (const auto& [hash, level] : levels) {
        if (const auto it = m_buckets.find(hash); it != m_buckets.end()) {
            auto& bucket = it->second;
            bucket.refill(now, m_share);
            bucket.level = std::min(bucket.level, level);
            // The other VM has subtracted the debt already.
            bucket.isOnProbation = bucket.isOnProbation && !isBacklogged(bucket);
        }
    }
}

void FleetQuota::markSilent(const VmId& vm, double share)
{
    if (const auto it = m_remotes.find(vm); it != m_remotes.end()) {
        it->second.silentShare = share;
    }
}

} // namespace Pollenwind
