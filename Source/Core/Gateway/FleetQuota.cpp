#include "Gateway/FleetQuota.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace Pollenwind {

namespace {

    // A new process does not know what was taken just before. A full bucket would allow a second burst.
    constexpr double initialLevelShare = 0.25;

    // A request larger than the burst is admitted if the bucket is nearly full, and leaves a debt.
    constexpr double maxNeededShare = 0.9;

    constexpr std::chrono::milliseconds minRetryAfter { 50 };

} // namespace

void FleetQuota::Bucket::refill(MonotonicTime now, double newRate, double newBurst)
{
    const double elapsed = std::chrono::duration<double>(now - refilledAt).count();
    // The time since the last refill counts at the lower of both rates.
    level = std::min(newBurst, level + elapsed * std::min(rate, newRate));
    rate = newRate;
    burst = newBurst;
    refilledAt = now;
}

FleetQuota::Bucket& FleetQuota::bucketOf(const OrganisationRule& organisation, std::uint64_t hash)
{
    const auto now = m_clock.now();
    auto [it, isNew] = m_buckets.try_emplace(hash);
    auto& bucket = it->second;
    const double rate = organisation.rate * m_share;
    const double burst = std::max(organisation.burst * m_burstShare, organisation.rate / 4) * m_share;
    if (isNew) {
        bucket = { burst * initialLevelShare, rate, burst, now };
        return bucket;
    }
    bucket.refill(now, rate, burst);
    return bucket;
}

Outcome<void> FleetQuota::take(const OrganisationRule& organisation, double tokens)
{
    if (organisation.rate <= 0) {
        return {};
    }
    const auto hash = XXH3_64bits(organisation.id.value().data(), organisation.id.value().size());
    auto& bucket = bucketOf(organisation, hash);
    const double needed = std::min(tokens, bucket.burst * maxNeededShare);
    if (bucket.level < needed) {
        Error error { ErrorCode::RateExceeded,
            "the token rate of " + organisation.id.value() + " is exceeded: level "
                + std::to_string(std::lround(bucket.level)) + ", needed " + std::to_string(std::lround(needed))
                + ", reachable share " + std::to_string(m_share) };
        const auto wait = std::chrono::duration<double>((needed - bucket.level) / std::max(1.0, bucket.rate));
        error.retryAfter = std::max(minRetryAfter, std::chrono::duration_cast<std::chrono::milliseconds>(wait));
        return std::unexpected(std::move(error));
    }
    bucket.level -= tokens;
    m_ownTotals[hash] += tokens;
    return {};
}

UsageTotals FleetQuota::usageOf(const std::vector<VmId>& vms, const VmId& ownVm) const
{
    UsageTotals sum;
    for (const auto& vm : vms) {
        const auto it = m_remotes.find(vm);
        if (vm != ownVm && it == m_remotes.end()) {
            continue;
        }
        for (const auto& [hash, taken] : vm == ownVm ? m_ownTotals : it->second.taken) {
            sum[hash] += taken;
        }
    }
    return sum;
}

void FleetQuota::recordRemoteUsage(const VmId& vm, Incarnation incarnation, const UsageTotals& totals)
{
    const auto [it, isNew] = m_remotes.try_emplace(vm, RemoteUsage { incarnation, totals, {} });
    if (isNew) {
        // The totals of the first report may have been taken long ago.
        return;
    }
    auto& remote = it->second;
    if (remote.incarnation != incarnation) {
        remote.totals.clear();
        remote.incarnation = incarnation;
    }
    for (const auto& [hash, total] : totals) {
        auto& known = remote.totals[hash];
        const double taken = total - known;
        if (taken <= 0) {
            continue;
        }
        known = total;
        remote.taken[hash] += taken;
        if (const auto bucket = m_buckets.find(hash); bucket != m_buckets.end()) {
            // Refilled first: a later refill, capped at the burst, would otherwise cancel these tokens in a bucket that
            // is already full by now.
            bucket->second.refill(m_clock.now(), bucket->second.rate, bucket->second.burst);
            bucket->second.level -= taken;
        }
    }
}

} // namespace Pollenwind
