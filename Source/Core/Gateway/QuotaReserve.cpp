#include "Gateway/QuotaReserve.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Multiple of an equal part that a VM gets at most, for an organisation whose callers are all at few VMs. In the
    // first second of a surge each VM knows more of its own use than of the others'.
    constexpr double largestPart = 8;

} // namespace

double QuotaReserve::partOf(Use use, std::size_t vms)
{
    const double equal = 1 / static_cast<double>(std::max<std::size_t>(vms, 1));
    const double used = use.fleet > 0 ? use.own / use.fleet : 0;
    return std::min(1.0, std::clamp(used, equal, largestPart * equal));
}

void QuotaReserve::keepOnly(const std::set<std::uint64_t>& organisations)
{
    std::erase_if(m_parts, [&organisations](const auto& it) { return !organisations.contains(it.first); });
}

bool QuotaReserve::take(
    MonotonicTime now, std::uint64_t organisation, double rate, Use use, std::size_t vms, double tokens)
{
    const double refill = rate * share * partOf(use, vms);
    const double capacity = refill * std::chrono::duration<double>(depth).count();
    auto& part = m_parts.try_emplace(organisation, Part { capacity, now }).first->second;
    part.level = std::min(capacity, part.level + refill * std::chrono::duration<double>(now - part.refilledAt).count());
    part.refilledAt = now;
    if (part.level <= 0) {
        return false;
    }
    part.level -= tokens;
    ++m_admissions;
    return true;
}

} // namespace Pollenwind
