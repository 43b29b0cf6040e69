#include "Soak/Commands/FaultInjector.h"

#include "Common/Sleep.h"
#include "Transport/HttpClient.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>

namespace Pollenwind {

namespace {

    constexpr std::chrono::seconds switchTimeout { 3 };

    /// How a fault of a stand-in is set: for a number of calls, or for a duration.
    struct FaultSwitch {
        SoakFault fault;
        const char* name;
        std::int64_t value;
        std::chrono::milliseconds length;
    };

    constexpr std::chrono::milliseconds untilConsumed { 0 };

    constexpr std::array faultSwitches {
        FaultSwitch { SoakFault::EngineSilentStreams, "silent-streams", 1, std::chrono::milliseconds(4000) },
        FaultSwitch { SoakFault::EngineRefuses, "refuse", 3, untilConsumed },
        FaultSwitch { SoakFault::EngineTruncates, "truncate", 2, untilConsumed },
        FaultSwitch { SoakFault::EngineCrossesAnswers, "crossed-answers", 2, untilConsumed },
        FaultSwitch { SoakFault::EngineSlow, "slow", 5, std::chrono::milliseconds(3000) },
        FaultSwitch { SoakFault::EngineLosesEvents, "lose-events", 3, std::chrono::milliseconds(4000) },
        FaultSwitch { SoakFault::PlainLosesAnswers, "lose-answers", 2, untilConsumed },
        FaultSwitch { SoakFault::PlainRefuses, "refuse", 2, untilConsumed },
        FaultSwitch { SoakFault::PlainCrossesAnswers, "crossed-answers", 1, untilConsumed },
        FaultSwitch { SoakFault::PlainSlow, "slow", 400, std::chrono::milliseconds(2000) },
        FaultSwitch { SoakFault::StoreDown, "down", 1, std::chrono::milliseconds(4000) },
        FaultSwitch { SoakFault::StoreSlow, "slow", 300, std::chrono::milliseconds(3000) },
        FaultSwitch { SoakFault::StoreLosesAnswers, "lose-answers", 3, untilConsumed },
        FaultSwitch { SoakFault::StoreSilentWatches, "silent-watches", 1, std::chrono::milliseconds(4000) },
        FaultSwitch { SoakFault::StoreStaleReads, "stale-reads", 5, std::chrono::milliseconds(2000) },
    };

} // namespace

ProcessFaultInjector::ProcessFaultInjector(const SoakOptions& options)
    : m_options(options)
{
}

Task<> ProcessFaultInjector::inject(SoakFault fault, std::uint64_t draw)
{
    const auto router = static_cast<std::size_t>(draw % m_options.routers.size());
    const auto& engine = m_options.engines[draw % m_options.engines.size()];
    switch (fault) {
    case SoakFault::EngineCrash: {
        HttpRequest request;
        request.method = "POST";
        request.path = "/stand-in/crash";
        co_await fetch(engine, std::move(request), switchTimeout);
        co_return;
    }
    case SoakFault::RouterKilled:
        signalRouter(router, SIGKILL);
        co_return;
    case SoakFault::RouterStopped:
        signalRouter(router, SIGTERM);
        co_return;
    case SoakFault::RouterPaused:
        signalRouter(router, SIGSTOP);
        co_await sleepFor(std::chrono::milliseconds(500 + draw % 4000));
        signalRouter(router, SIGCONT);
        co_return;
    case SoakFault::RouterHerdRestart:
        for (std::size_t i = 0; i < m_options.routers.size(); ++i) {
            signalRouter(i, SIGKILL);
        }
        co_return;
    default:
        break;
    }
    for (const auto& row : faultSwitches) {
        if (row.fault != fault) {
            continue;
        }
        const std::string_view name = nameOf(fault);
        const auto& standIn = name.starts_with("store") ? m_options.store
            : name.starts_with("plain")                 ? m_options.plain[draw % m_options.plain.size()]
                                                        : engine;
        co_await switchForDuration(standIn, row.name, row.value, row.length);
    }
}

Task<> ProcessFaultInjector::switchFault(Endpoint standIn, std::string fault, std::int64_t value)
{
    const nlohmann::json body = { { "fault", fault }, { "value", value } };
    HttpRequest request;
    request.method = "POST";
    request.path = "/stand-in/faults";
    request.body = body.dump();
    co_await fetch(standIn, std::move(request), switchTimeout);
}

Task<> ProcessFaultInjector::switchForDuration(
    Endpoint standIn, std::string fault, std::int64_t value, std::chrono::milliseconds length)
{
    co_await switchFault(standIn, fault, value);
    if (length != untilConsumed) {
        co_await sleepFor(length);
        co_await switchFault(standIn, fault, 0);
    }
}

void ProcessFaultInjector::signalRouter(std::size_t index, int signal) const
{
    std::ifstream file(m_options.routers[index].pidFile);
    int pid = 0;
    file >> pid;
    if (pid > 1) {
        kill(pid, signal);
    }
}

} // namespace Pollenwind
