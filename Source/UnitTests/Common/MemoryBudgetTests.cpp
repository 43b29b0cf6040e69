#include "Common/MemoryBudget.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace Pollenwind;

namespace {

constexpr std::size_t total = 1'000'000;

} // namespace

// Guards against a sum of shares above the total, against bytes that are not returned, and against large holders that
// keep small ones out, whatever the order in which shares grow, shrink and end.
Test(MemoryBudget, boundsTheSumAndKeepsRoomForSmallHolders)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        const auto below = [&](std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random); };
        MemoryBudget budget(total);
        std::vector<std::optional<MemoryBudget::Share>> shares(1 + below(60));
        for (unsigned step = 0; step < 2000; ++step) {
            auto& share = shares[below(shares.size())];
            if (!share) {
                share.emplace(budget, MemoryUse::Request);
            } else if (below(20) == 0) {
                share.reset();
            } else if (below(10) == 0) {
                share->resize(share->bytes() / 2);
            } else {
                const auto before = share->bytes();
                const auto wanted = before + 1 + below(below(10) == 0 ? total : 20'000);
                const bool isGrown = share->resize(wanted);
                cr_assert_eq(share->bytes(), isGrown ? wanted : before, "seed %u, step %u", seed, step);
                // The largest holders are refused first: what is free afterwards holds the share once more.
                cr_assert(!isGrown || total - budget.heldBytes() >= wanted, "seed %u, step %u", seed, step);
            }
            std::size_t sum = 0;
            for (const auto& it : shares) {
                sum += it ? it->bytes() : 0;
            }
            cr_assert_eq(sum, budget.heldBytes(), "seed %u, step %u", seed, step);
            cr_assert_leq(sum, total, "seed %u, step %u", seed, step);
        }
        shares.clear();
        cr_assert_eq(budget.heldBytes(), 0, "seed %u", seed);
    }
}

// Guards against holders without end that take up the whole budget together: each gets in the end the same part, and
// one more holder finds that part free.
Test(MemoryBudget, dividesItselfAmongHoldersWithoutEnd)
{
    constexpr std::size_t step = 100;
    for (const std::size_t count : { 1UL, 2UL, 10UL, 100UL, 1000UL }) {
        MemoryBudget budget(total);
        std::vector<MemoryBudget::Share> shares;
        for (std::size_t n = 0; n < count; ++n) {
            shares.emplace_back(budget, MemoryUse::StoreResponse);
        }
        for (bool isGrowing = true; isGrowing;) {
            isGrowing = false;
            for (auto& it : shares) {
                isGrowing = it.resize(it.bytes() + step) || isGrowing;
            }
        }
        cr_assert_geq(budget.refusals(MemoryUse::StoreResponse), count);
        const auto part = total / (count + 1);
        cr_assert_geq(total - budget.heldBytes(), part - step, "%zu holders", count);
        cr_assert_leq(total - budget.heldBytes(), part + count * step, "%zu holders", count);
        MemoryBudget::Share small(budget, MemoryUse::PeerFeed);
        cr_assert(small.resize((part - step) / 2), "%zu holders", count);
    }
}

// Guards against counting the bytes of a string that doubles as if it took only its size.
Test(MemoryBudget, countsTheCapacityOfAString)
{
    MemoryBudget budget(total);
    MemoryBudget::Share share(budget, MemoryUse::RunnerResponse);
    std::string text;
    while (appendWithin(text, std::string(777, 'x'), share)) {
        cr_assert_eq(share.bytes(), text.capacity());
    }
    cr_assert_leq(text.capacity(), total / 2);
    cr_assert_eq(share.bytes(), text.capacity());
    cr_assert_eq(budget.refusals(MemoryUse::RunnerResponse), 1);
    MemoryBudget::Share moved(std::move(share));
    cr_assert_eq(budget.heldBytes(), text.capacity());
}

// Guards against callers and runners that keep this VM from the store: a list of records is larger than most requests
// and would be refused first, so that the configuration and the keys get out of date.
Test(MemoryBudget, keepsRoomForTheStoreBesideRequestsAndResponses)
{
    // A page of the store's list, as a string that doubles, on a VM with 88 MB.
    constexpr std::size_t pageBytes = 2UL * 1024 * 1024;
    constexpr std::size_t holders = 400;
    MemoryBudget budget(22UL * 1024 * 1024);
    std::vector<MemoryBudget::Share> shares;
    for (const auto use : { MemoryUse::Request, MemoryUse::RunnerResponse, MemoryUse::RunnerStream,
             MemoryUse::RunnerReport, MemoryUse::OperatorResponse }) {
        for (std::size_t n = 0; n < holders; ++n) {
            shares.emplace_back(budget, use);
            while (shares.back().resize(shares.back().bytes() + 1024)) { }
        }
    }
    MemoryBudget::Share page(budget, MemoryUse::StoreResponse);
    cr_assert(page.resize(pageBytes));
}
