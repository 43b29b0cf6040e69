#include "Gateway/RefusalFleet.h"
#include "Timeline/Log.h"

#include <cstdio>

using namespace Pollenwind;
using namespace std::chrono_literals;

// A third of the runners refuse for 8 s at 1.5 times the usual load and name 2 s in each refusal. Without back-off
// every request was offered to them over and over, while the others were overrun by what they refused. The first
// measure of each seed is with runners that name no time, which is how all refusals were handled before.
Test(RefusalFleet, servesAtLeastAsMuchWithoutOverrunningRefusingRunners)
{
    configureLog(LogLevel::Off);
    for (const unsigned seed : { 1U, 2U }) {
        RefusalLoad load;
        const auto before = RefusalFleet(load, seed).run();
        load.unwantedFor = 2s;
        const auto after = RefusalFleet(load, seed).run();
        for (const auto* it : { &before, &after }) {
            std::printf("refusals, seed %u, %s: %zu requests, served %.3f, at refusing runners %zu, most in a back-off "
                        "%zu, refused after %.0f ms (half), %.0f ms (95%%)\n",
                seed, it == &before ? "without a time" : "with a time", it->requests, it->servedShare(), it->atRefusing,
                it->mostInBackOff, std::chrono::duration<double, std::milli>(it->refusalTime(0.5)).count(),
                std::chrono::duration<double, std::milli>(it->refusalTime(0.95)).count());
        }
        // The rule of the platform: at most two requests from half a second after the refusal.
        cr_assert_leq(after.mostInBackOff, 2);
        cr_assert(after.atRefusing < before.atRefusing / 10);
        cr_assert(after.servedShare() >= before.servedShare());
    }
}
