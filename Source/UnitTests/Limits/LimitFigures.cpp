#include "Limits/FleetSimulation.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include <malloc.h>

using namespace Pollenwind;

namespace {

/// Sums of several seeds of one scenario.
SimulationResult sumOf(SimulationOptions options, std::uint64_t seeds)
{
    SimulationResult sum;
    sum.excess = -options.burst;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        const auto result = FleetSimulation(options).run();
        sum.requests += result.requests;
        sum.refused += result.refused;
        sum.messages += result.messages;
        sum.admittedTokens += result.admittedTokens;
        sum.excess = std::max(sum.excess, result.excess);
    }
    return sum;
}

void print(const char* name, const SimulationOptions& options, std::uint64_t seeds)
{
    const auto sum = sumOf(options, seeds);
    std::printf("%-28s %-9s requests %8lu  refused %6.3f%%  messages/s %6.1f  admitted %5.1f%% of rate  excess %.0f\n",
        name, std::string(nameOf(options.shape)).c_str(), sum.requests, sum.refusedPercent(),
        static_cast<double>(sum.messages) / (options.durationSeconds * static_cast<double>(seeds)),
        100 * sum.admittedTokens / (options.rate * options.durationSeconds * static_cast<double>(seeds)), sum.excess);
}

} // namespace

// Prints the figures of docs/measurements.md: POLLENWIND_FIGURE_SEEDS=20 LimitsTests --filter 'LimitFigures/*'.
// Without the variable it runs one seed, which guards against a simulation that no longer runs these scenarios.
Test(LimitFigures, refusalsAndMessages)
{
    const char* text = std::getenv("POLLENWIND_FIGURE_SEEDS");
    const std::uint64_t seeds = text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
    SimulationOptions options;
    options.durationSeconds = text == nullptr ? 9 : 120;
    for (const auto shape : { LoadShape::Even, LoadShape::OneVm, LoadShape::OneZone, LoadShape::Hopping }) {
        options.shape = shape;
        options.restartEvery = 0;
        options.smallestUse = 1;
        print("steady", options, seeds);
        options.restartEvery = 20;
        print("a VM restarts every 20 s", options, seeds);
        options.restartEvery = 0;
        options.smallestUse = 0.2;
        options.longestRequestSeconds = 3;
        print("60% of reservations used", options, seeds);
    }
    options.smallestUse = 1;
    options.isolatedZone = 0;
    options.loadedVm = 0;
    for (const double load : { 0.3, 0.6 }) {
        options.load = load;
        for (const auto shape : { LoadShape::OneVm, LoadShape::OneZone }) {
            options.shape = shape;
            print(load < 0.5 ? "cut-off zone, load 0.3" : "cut-off zone, load 0.6", options, seeds);
        }
    }
    cr_assert(seeds > 0);
}

// Prints messages per organisation and second by the size of the fleet. The last rows show the average organisation of
// the target size, 380 VMs: 313 tokens and 1.2 requests a second, half of its rate. Without the variable it runs one
// seed, as above.
Test(LimitFigures, messagesBySize)
{
    const char* text = std::getenv("POLLENWIND_FIGURE_SEEDS");
    const std::uint64_t seeds = text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
    SimulationOptions options;
    options.durationSeconds = text == nullptr ? 1 : 60;
    for (const std::size_t zones : { 3, 6, 15 }) {
        options.zones = zones;
        for (const auto shape : { LoadShape::Even, LoadShape::OneVm, LoadShape::OneZone }) {
            options.shape = shape;
            print((std::to_string(zones * ShareLayout::slotsPerGroup) + " VMs").c_str(), options, seeds);
        }
    }
    options.shape = LoadShape::Even;
    options.vmsWithoutSlots = 335;
    options.rate = 626;
    options.load = 0.5;
    options.meanRequest = 267;
    options.durationSeconds = text == nullptr ? 1 : 240;
    for (const double burst : { 6000, 12000, 36000 }) {
        options.burst = burst;
        print(("380 VMs, burst " + std::to_string(static_cast<int>(burst))).c_str(), options, seeds);
    }
    cr_assert(seeds > 0);
}

namespace {

struct ManyOrganisations final : ConfigurationQueries {
    explicit ManyOrganisations(std::size_t n)
    {
        auto next = std::make_shared<Configuration>();
        for (std::size_t i = 0; i < n; ++i) {
            const OrganisationId id("organisation-" + std::to_string(i));
            next->document.organisations[id] = { id, 350, 7000 };
        }
        configuration = next;
    }
    std::shared_ptr<const Configuration> current() const override { return configuration; }
    std::shared_ptr<const Configuration> configuration;
};

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

void printMemory(std::size_t n, std::size_t zones)
{
    const ManyOrganisations configuration(n);
    ManualClock clock;
    LimitTable table(clock, configuration, VmId("vm0"), ZoneId("zone0"));
    ShareRecord record;
    for (std::size_t i = 0; i < zones * ShareLayout::slotsPerGroup; ++i) {
        const ZoneId zone("zone" + std::to_string(i % zones));
        record.layout.zones.resize(zones, zone);
        record.holders[{ zone, 0, static_cast<std::uint32_t>(i / zones) }].vm = VmId("vm" + std::to_string(i));
    }
    table.adoptShares(record, { { ZoneId("zone0"), 0, 0 } });
    clock.advance(std::chrono::hours(1));
    const double idle = heapBytes();
    for (const auto& [id, spec] : configuration.configuration->document.organisations) {
        const auto waiter = table.enqueue(id, 10, clock.now());
        cr_assert(table.poll(id, *waiter).has_value());
    }
    const double active = heapBytes();
    for (int i = 0; i < 20; ++i) {
        clock.advance(std::chrono::seconds(10));
        table.sweep();
    }
    cr_assert_eq(table.accountCount(), 0U);
    std::printf("%6zu organisations, %2zu lenders: %6.0f bytes for each active one; idle again: %zu accounts\n", n,
        zones * ShareLayout::slotsPerGroup - 1, (active - idle) / static_cast<double>(n), table.accountCount());
}

} // namespace

// Prints bytes per active organisation, including a reservation. Guards against memory that is kept for idle
// organisations. Under AddressSanitizer the heap statistics are 0.
Test(LimitFigures, memoryByOrganisations)
{
    for (const std::size_t n : { 1000, 5000, 23000 }) {
        printMemory(n, 3);
        printMemory(n, 15);
    }
}
