#include "MoveBench/MoveScenario.h"

#include "Support/ProgramMain.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <vector>

namespace {

using namespace Pollenwind;

struct Deployment {
    const char* name;
    std::uint32_t engines;
    std::uint32_t concurrentLoads;
    double requestRate;
};

constexpr std::array deployments {
    Deployment { "drattur", 9, 2, 6 },
    Deployment { "kutpenz", 18, 3, 12 },
};

void runRow(const Deployment& deployment, VersionBehaviour behaviour, MoveDisturbance disturbance, unsigned seeds)
{
    unsigned done = 0;
    unsigned rolledBack = 0;
    std::uint64_t requests = 0;
    std::uint64_t newRequests = 0;
    std::uint64_t afterRollback = 0;
    std::vector<double> exposures;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        MoveScenario scenario;
        scenario.engines = deployment.engines;
        scenario.concurrentLoads = deployment.concurrentLoads;
        scenario.requestRate = deployment.requestRate;
        scenario.behaviour = behaviour;
        scenario.disturbance = disturbance;
        scenario.seed = seed;
        const auto result = simulateMove(scenario);
        done += result.isDone ? 1 : 0;
        rolledBack += result.isRolledBack ? 1 : 0;
        requests += result.requests;
        newRequests += result.newRequests;
        afterRollback += result.requestsAfterRollback;
        exposures.push_back(std::chrono::duration<double>(result.exposure).count());
        if (result.isDone != isGood(behaviour)) {
            std::printf("  seed %u: %s, %s\n", seed, result.reason.c_str(), result.evidence.c_str());
        }
    }
    std::ranges::sort(exposures);
    std::printf("%-8s %-19s %-13s done %u rolled back %u of %u  share %.2f%%  exposure after the first failure: median "
                "%.1f s, p99 %.1f s"
                "  requests after rollback %lu\n",
        deployment.name, std::string(nameOf(behaviour)).c_str(), std::string(nameOf(disturbance)).c_str(), done,
        rolledBack, seeds,
        100.0 * static_cast<double>(newRequests) / static_cast<double>(std::max<std::uint64_t>(1, requests)),
        exposures[exposures.size() / 2], exposures[exposures.size() * 99 / 100],
        static_cast<unsigned long>(afterRollback));
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line(
        "Simulates moves to good and faulty versions with the production planner and evaluator.", ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<unsigned> seeds("", "seeds", "Seeds for each row", false, 100, "N", line);
    line.parse(argc, argv);
    for (const auto& deployment : deployments) {
        for (const auto& disturbance : EnumTable<MoveDisturbance>::rows) {
            for (const auto& behaviour : EnumTable<VersionBehaviour>::rows) {
                runRow(deployment, behaviour.value, disturbance.value, seeds.getValue());
            }
        }
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return Pollenwind::runProgram("pollenwind-move-bench", [&] { return run(argc, argv); });
}
