#include "Limits/TokenBucket.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

bool isNear(double a, double b) { return std::abs(a - b) < 1e-6; }

} // namespace

// Guards against a second burst from refunds: after the bucket was full, earlier reservations get no refund, and two
// refunds together return no more than the smallest headroom.
Test(TokenBucket, refundsFitTheHeadroomSinceTheReservation)
{
    TokenBucket bucket(0s, { 10, 100 }, 100);
    bucket.spend(80);
    bucket.refill(2s, { 10, 100 });
    cr_expect(isNear(bucket.headroom(), 80 - 20 * 0.99));
    const double headroom = bucket.headroom();
    cr_expect(isNear(bucket.refund(2s, 1s, 40), 40));
    cr_expect(isNear(bucket.refund(2s, 1s, 40), headroom - 40));
    bucket.spend(50);
    cr_expect(isNear(bucket.refund(3s, 1s, 10), 0));

    TokenBucket other(0s, { 10, 100 }, 100);
    other.spend(50);
    other.refill(60s, { 10, 100 });
    other.spend(100);
    cr_expect(isNear(other.refund(61s, 0s, 50), 0));
    cr_expect(isNear(other.refund(61s, 60s, 50), 0));
    other.refill(62s, { 10, 100 });
    cr_expect(isNear(other.refund(62s, 61s, 50), 50));
}

// Guards against a rate change that raises the level at once, or that credits the time before the change at the new
// rate.
Test(TokenBucket, rateChangeNeverRaisesTheLevel)
{
    TokenBucket bucket(0s, { 10, 100 }, 0);
    bucket.refill(1s, { 1000, 5000 });
    cr_expect(isNear(bucket.level(), 9.9));
    bucket.refill(2s, { 1000, 5000 });
    cr_expect(isNear(bucket.level(), 9.9 + 990));
    bucket.refill(2s, { 10, 100 });
    cr_expect(isNear(bucket.level(), 100));
}

// Guards against a level that grows while tokens are lent: lent tokens count against the cap and 3/4 is the most.
Test(TokenBucket, lentTokensCountAgainstTheCap)
{
    TokenBucket bucket(0s, { 10, 100 }, 100);
    cr_expect(isNear(bucket.lendable(), 75));
    bucket.lend(75);
    cr_expect(isNear(bucket.lendable(), 0));
    bucket.refill(60s, { 10, 100 });
    cr_expect(isNear(bucket.level(), 25));
    bucket.endGrant(75, 30);
    cr_expect(isNear(bucket.level(), 55));
    cr_expect(isNear(bucket.outstanding(), 0));
}

// Guards against a history that loses the smallest headroom when it merges entries.
Test(HeadroomHistory, neverReportsMoreThanTheSmallestHeadroom)
{
    HeadroomHistory history;
    std::vector<double> headrooms;
    std::uint64_t state = 42;
    for (int i = 0; i < 500; ++i) {
        state = state * 6364136223846793005U + 1442695040888963407U;
        headrooms.push_back(static_cast<double>(state >> 54U) + i);
        history.record(std::chrono::seconds(i), headrooms.back());
        for (int since = 0; since <= i; since += 7) {
            const double smallest = *std::min_element(headrooms.begin() + since, headrooms.end());
            cr_assert(history.smallestSince(std::chrono::seconds(since)) <= smallest);
        }
    }
}
