#include "Placement/PlacementIndex.h"

#include <criterion/criterion.h>

#include <map>
#include <random>
#include <set>

using namespace Pollenwind;

namespace {

const UpstreamId engine("e1");
const Incarnation first(11);
const Incarnation second(12);

PrefixChain chainFor(std::string_view organisation, std::string_view version)
{
    const auto salt
        = chainSalt(OrganisationId(std::string(organisation)), ServiceId("m"), VersionId(std::string(version)));
    return makePrefixChain(salt, std::string(16 * bytesPerToken * 4, 'x'), 16);
}

std::uint32_t cachedBlocks(const PlacementIndex& index, const UpstreamId& upstream, const PrefixChain& chain)
{
    for (const auto& it : index.holders(chain)) {
        if (it.upstream == upstream) {
            return it.blocks;
        }
    }
    return 0;
}

CacheEvent stored(std::uint64_t sequence, ChainHash hash, Incarnation incarnation = first)
{
    return { sequence, incarnation, CacheEventKind::Stored, hash };
}

} // namespace

// Guards against reuse of cache blocks of another organisation or of older weights (P1).
Test(PlacementIndex, organisationsAndVersionsNeverMatch)
{
    ManualClock clock;
    PlacementIndex index(clock);
    index.setIncarnation(engine, first);
    index.recordPlacement({ engine, first }, chainFor("a", "v1"));
    cr_assert_eq(cachedBlocks(index, engine, chainFor("a", "v1")), 4);
    cr_assert_eq(cachedBlocks(index, engine, chainFor("b", "v1")), 0);
    cr_assert_eq(cachedBlocks(index, engine, chainFor("a", "v2")), 0);
}

// Guards against trusting entries of a crashed engine, and against late updates from its earlier incarnation (P1).
Test(PlacementIndex, newIncarnationDropsEverything)
{
    ManualClock clock;
    PlacementIndex index(clock);
    const auto chain = chainFor("a", "v1");
    index.setIncarnation(engine, first);
    index.recordPlacement({ engine, first }, chain);
    index.setIncarnation(engine, second);
    cr_assert(index.holders(chain).empty());
    index.onCacheEvent(engine, stored(1, chain.hashes[0]));
    index.recordPlacement({ engine, first }, chain);
    index.recordCachedTokens({ engine, first }, chain, chain.promptTokens);
    cr_assert(index.holders(chain).empty());
    index.onCacheEvent(engine, stored(1, chain.hashes[0], second));
    cr_assert_eq(cachedBlocks(index, engine, chain), 1);
}

// Guards against trusting blocks whose eviction event may have been lost.
Test(PlacementIndex, gapDistrustsOlderEntriesUntilConfirmed)
{
    ManualClock clock;
    PlacementIndex index(clock);
    const auto chain = chainFor("a", "v1");
    index.setIncarnation(engine, first);
    for (std::size_t i = 0; i < 3; ++i) {
        index.onCacheEvent(engine, stored(i + 1, chain.hashes[i]));
    }
    cr_assert_eq(cachedBlocks(index, engine, chain), 3);
    index.onCacheEvent(engine, stored(9, chain.hashes[3]));
    cr_assert_eq(cachedBlocks(index, engine, chain), 0);
    cr_assert_eq(index.nextSequence(engine), 10);
    index.recordCachedTokens({ engine, first }, chain, 2 * chain.blockTokens);
    cr_assert_eq(cachedBlocks(index, engine, chain), 2);
    index.onCacheEvent(engine, stored(10, chain.hashes[2]));
    cr_assert_eq(cachedBlocks(index, engine, chain), 4);
}

// Guards against trusting entries from before an interruption of the event stream, and against losing them although the
// stream continues without a gap.
Test(PlacementIndex, interruptedStreamSuspendsTrust)
{
    ManualClock clock;
    PlacementIndex index(clock);
    const auto chain = chainFor("a", "v1");
    index.setIncarnation(engine, first);
    index.onCacheEvent(engine, stored(1, chain.hashes[0]));
    index.setEventStreamActive(engine, false);
    cr_assert_eq(cachedBlocks(index, engine, chain), 0);
    index.setEventStreamActive(engine, true);
    cr_assert_eq(cachedBlocks(index, engine, chain), 1);
}

// Guards against repeated cache misses on blocks that a response showed to be evicted, while the eviction event is
// late.
Test(PlacementIndex, answerWithFewerCachedTokensDistrustsOlderEntries)
{
    ManualClock clock;
    PlacementIndex index(clock);
    const auto older = chainFor("a", "v1");
    const auto newer = chainFor("b", "v1");
    index.setIncarnation(engine, first);
    index.recordPlacement({ engine, first }, older);
    index.recordPlacement({ engine, first }, newer);
    const auto holding = index.holders(newer).front();
    const PlacementChoice choice { engine, first, holding.blocks * newer.blockTokens, holding.oldestConfirmedAt };
    index.recordPlacement(choice, newer);
    index.recordCachedTokens(choice, newer, 0);
    cr_assert_eq(cachedBlocks(index, engine, older), 0);
    cr_assert_eq(cachedBlocks(index, engine, newer), 4);
}

// Guards against memory that grows with the total number of blocks, engines or prefixes.
Test(PlacementIndex, memoryIsBounded)
{
    ManualClock clock;
    PlacementIndex index(clock, { .maxBlocks = 1000, .maxEngines = 10 });
    std::size_t bytes = 0;
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        const UpstreamId id("e" + std::to_string(i % 30));
        index.setIncarnation(id, Incarnation(i / 3000));
        PrefixChain chain { { i * 3 + 1, i * 3 + 2, i * 3 + 3 }, 16, 50 };
        index.recordPlacement({ id, Incarnation(i / 3000) }, chain);
        cr_assert_leq(index.blockCount(), 1000);
        if (i == 5000) {
            bytes = index.memoryBytes();
        }
    }
    cr_assert_eq(index.memoryBytes(), bytes);
    // The most recently touched blocks are kept.
    const PrefixChain last { { 59'998, 59'999, 60'000 }, 16, 50 };
    cr_assert_eq(index.holders(last).size(), 1);
}

// Guards against entries that stay indefinitely after their eviction event was lost.
Test(PlacementIndex, unconfirmedEntriesAge)
{
    ManualClock clock;
    PlacementIndex index(clock, { .maxAge = std::chrono::seconds(60) });
    const auto chain = chainFor("a", "v1");
    index.setIncarnation(engine, first);
    index.recordPlacement({ engine, first }, chain);
    clock.advance(std::chrono::seconds(61));
    index.recordPlacement({ engine, first }, chainFor("b", "v1"));
    cr_assert_eq(cachedBlocks(index, engine, chain), 0);
    cr_assert_eq(index.blockCount(), 4);
}

// Guards against differences between the index and a reference model of sets in random sequences of updates.
Test(PlacementIndex, matchesReferenceModel)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        ManualClock clock;
        PlacementIndex index(clock);
        std::map<UpstreamId, std::uint64_t> incarnations;
        std::map<UpstreamId, std::uint64_t> sequences;
        std::map<UpstreamId, std::set<ChainHash>> cached;
        for (int step = 0; step < 3000; ++step) {
            clock.advance(std::chrono::milliseconds(random() % 20));
            const UpstreamId id("e" + std::to_string(random() % 5));
            const PrefixChain chain { { random() % 3 + 1, random() % 5 + 10, random() % 9 + 20 }, 16, 50 };
            const Incarnation incarnation(incarnations[id]);
            index.setIncarnation(id, incarnation);
            const auto action = random() % 20;
            if (action == 0) {
                index.setIncarnation(id, Incarnation(++incarnations[id]));
                cached[id].clear();
                sequences[id] = 0;
            } else if (action == 1) {
                sequences[id] += 2;
                index.onCacheEvent(id, { sequences[id], incarnation, CacheEventKind::Stored, chain.hashes[0] });
                cached[id] = { chain.hashes[0] };
            } else if (action == 2) {
                index.onCacheEvent(id, { ++sequences[id], incarnation, CacheEventKind::Cleared, 0 });
                cached[id].clear();
            } else if (action < 8) {
                index.recordPlacement({ id, incarnation }, chain);
                cached[id].insert(chain.hashes.begin(), chain.hashes.end());
            } else if (action < 16) {
                index.onCacheEvent(
                    id, { ++sequences[id], incarnation, CacheEventKind::Evicted, chain.hashes[action % 3] });
                cached[id].erase(chain.hashes[action % 3]);
            }
            for (const auto& [upstream, hashes] : cached) {
                std::uint32_t blocks = 0;
                while (blocks < 3 && hashes.contains(chain.hashes[blocks])) {
                    ++blocks;
                }
                cr_assert_eq(cachedBlocks(index, upstream, chain), blocks, "seed %u step %d", seed, step);
            }
        }
    }
}
