#include "Common/HybridClock.h"

#include <criterion/criterion.h>

using namespace Pollenwind;

// Guards against an effect whose timestamp is before that of its cause when the wall clock stands still or is behind.
Test(HybridClock, stampsFollowCauses)
{
    ManualClock clock;
    HybridClock first(clock);
    const auto a = first.next();
    const auto b = first.next();
    cr_assert(a < b);

    ManualClock slowClock;
    HybridClock second(slowClock);
    clock.advance(std::chrono::seconds(5));
    const auto cause = first.next();
    second.observe(cause);
    cr_assert(second.next() > cause);
}
