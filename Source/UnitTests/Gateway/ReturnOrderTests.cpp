#include "Gateway/ReturnOrder.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime start { 100s };
const OrganisationId someone("org");

/// Times at which callers return that are rejected in equal intervals.
std::vector<MonotonicTime> returnTimes(ReturnOrder& order, const OrganisationId& organisation, int count,
    std::chrono::nanoseconds interval, std::chrono::nanoseconds excess, unsigned seed)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> spread(0, 1);
    std::vector<MonotonicTime> times;
    for (int n = 0; n < count; ++n) {
        const auto now = start + n * interval;
        times.push_back(now + order.assign(now, organisation, excess, 10s, spread(random)));
    }
    return times;
}

} // namespace

// Callers must not return together, not before the excess is worked off, and they follow the time only up to a third of
// what they have left.
Test(ReturnOrder, spreadsTheReturnOfCallers)
{
    const auto assign = [](auto excess, auto remaining, double spread) {
        return ReturnOrder().assign(start, someone, excess, remaining, spread);
    };
    cr_assert_eq(assign(20ms, 4s, 0).count(), 100);
    cr_assert_eq(assign(300ms, 4s, 0).count(), 300);
    cr_assert_eq(assign(300ms, 4s, 1).count(), 450);
    for (const double spread : { 0.0, 0.5, 1.0 }) {
        cr_assert(assign(10s, 3s, spread) <= 1s);
    }
    cr_assert(assign(10s, 3s, 0) < assign(10s, 3s, 1));
    cr_assert_eq(assign(10s, -1s, 1).count(), 0);
    cr_assert_eq(assign(10s, 0s, 1).count(), 0);
}

// A caller that was rejected later must not return earlier and take the capacity for which another one has waited,
// whatever the rate of the rejections and also when the excess shrinks.
Test(ReturnOrder, returnsCallersInTheOrderOfTheirRejections)
{
    for (const std::chrono::nanoseconds interval : { 0us, 300us, 5000us, 90000us }) {
        ReturnOrder order;
        const auto times = returnTimes(order, someone, 500, interval, 400ms, 1);
        cr_assert(std::ranges::is_sorted(times));
    }
    ReturnOrder order;
    const auto before = returnTimes(order, someone, 20, 1ms, 800ms, 1);
    const auto now = start + 20ms;
    cr_assert(now + order.assign(now, someone, 100ms, 10s, 0.5) >= before.back());
}

// A burst must not return at one moment, and a steady excess must not push the return ever further away: callers of an
// excess of 400 ms return within 800 ms.
Test(ReturnOrder, spreadsBurstsAndKeepsWithinTheExcess)
{
    ReturnOrder order;
    const auto burst = returnTimes(order, someone, 40, 0ms, 400ms, 2);
    cr_assert(std::set(burst.begin(), burst.end()).size() >= 30);
    cr_assert(burst.front() >= start + 400ms && burst.back() <= start + 800ms);
    // With steps of a fixed size all callers after the first 55 returned at the end of the spread.
    ReturnOrder large;
    const auto many = returnTimes(large, someone, 500, 0ms, 400ms, 2);
    for (const auto time : many) {
        cr_assert(std::ranges::count(many, time) <= 50, "a tenth of the callers at most returns at one time");
    }
    ReturnOrder steady;
    const auto times = returnTimes(steady, someone, 4000, 1ms, 400ms, 3);
    for (std::size_t n = 0; n < times.size(); ++n) {
        const auto wait = times[n] - (start + n * 1ms);
        cr_assert(wait >= 400ms && wait <= 801ms);
    }
    // At most the callers of a tenth of a second return at one time.
    std::size_t together = 0;
    for (std::size_t n = 0; n < times.size(); ++n) {
        const auto end = std::ranges::upper_bound(times, times[n]);
        together = std::max(together, static_cast<std::size_t>(end - times.begin()) - n);
    }
    cr_assert(together <= 100);
}

// An organisation with many rejected callers must not delay the callers of another one, and callers of different
// organisations that are rejected together must not return together.
Test(ReturnOrder, keepsOrganisationsApart)
{
    ReturnOrder order;
    returnTimes(order, someone, 1000, 0ms, 400ms, 4);
    std::set<std::chrono::milliseconds> waits;
    for (int n = 0; n < 20; ++n) {
        const auto wait = order.assign(start, OrganisationId("org-" + std::to_string(n)), 400ms, 10s, 0.05 * n);
        cr_assert(wait >= 400ms && wait <= 600ms);
        waits.insert(wait);
    }
    cr_assert_geq(waits.size(), 19);
}

// A caller that states a long time must not delay those after it beyond a third of their own time.
Test(ReturnOrder, boundsTheWaitByTheCallersOwnTime)
{
    ReturnOrder order;
    order.assign(start, someone, 60s, 3600s, 1);
    cr_assert(order.assign(start, someone, 400ms, 3s, 1) <= 1s);
}

// The memory must stay bounded with any number of organisations.
Test(ReturnOrder, keepsABoundedNumberOfOrganisations)
{
    ReturnOrder order;
    for (int n = 0; n < 5000; ++n) {
        order.assign(start + n * 1us, OrganisationId("org-" + std::to_string(n)), 400ms, 10s, 0.5);
    }
    cr_assert_leq(order.size(), ReturnOrder::maxOrganisations);
}
