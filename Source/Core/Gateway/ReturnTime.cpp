#include "Gateway/ReturnTime.h"

#include "Common/HashFraction.h"

#include <xxhash.h>

#include <algorithm>

namespace Pollenwind {

namespace {

    // Runners that shut down are replaced after a time that they do not tell.
    constexpr std::chrono::milliseconds usualWait { 300 };

    // Callers return over this share of the wait, at least over the second value.
    constexpr int spreadDivisor = 2;
    constexpr std::chrono::milliseconds shortestSpread { 150 };

} // namespace

std::chrono::milliseconds returnTime(
    std::optional<std::chrono::nanoseconds> untilRunnerReturns, const RequestId& request)
{
    const auto wait = untilRunnerReturns.value_or(usualWait);
    const auto hash = XXH3_64bits(request.value().data(), request.value().size());
    const double place = toFraction(hash);
    const auto range = std::max<std::chrono::nanoseconds>(wait / spreadDivisor, shortestSpread);
    return std::chrono::ceil<std::chrono::milliseconds>(
        wait + std::chrono::duration_cast<std::chrono::nanoseconds>(range * place));
}

} // namespace Pollenwind
