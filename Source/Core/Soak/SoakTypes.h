#pragma once

#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Transport/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Pollenwind {

/// Faults that a soak run injects.
enum class SoakFault {
    EngineCrash,
    EngineSilentStreams,
    EngineRefuses,
    EngineTruncates,
    EngineCrossesAnswers,
    EngineSlow,
    EngineLosesEvents,
    PlainLosesAnswers,
    PlainRefuses,
    PlainCrossesAnswers,
    PlainSlow,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreSilentWatches,
    StoreStaleReads,
    RouterKilled,
    /// SIGSTOP, followed by SIGCONT after 0.5 s to 4.5 s.
    RouterPaused,
    /// Graceful shutdown by SIGTERM.
    RouterStopped,
    /// All routers are killed at the same time.
    RouterHerdRestart,
    /// A caller key is replaced by a new one and withdrawn.
    KeyWithdrawn,
};

template <> struct EnumTable<SoakFault> {
    static constexpr std::array rows {
        EnumName { SoakFault::EngineCrash, "engine-crash" },
        EnumName { SoakFault::EngineSilentStreams, "engine-silent-streams" },
        EnumName { SoakFault::EngineRefuses, "engine-refuses" },
        EnumName { SoakFault::EngineTruncates, "engine-truncates" },
        EnumName { SoakFault::EngineCrossesAnswers, "engine-crosses-answers" },
        EnumName { SoakFault::EngineSlow, "engine-slow" },
        EnumName { SoakFault::EngineLosesEvents, "engine-loses-events" },
        EnumName { SoakFault::PlainLosesAnswers, "plain-loses-answers" },
        EnumName { SoakFault::PlainRefuses, "plain-refuses" },
        EnumName { SoakFault::PlainCrossesAnswers, "plain-crosses-answers" },
        EnumName { SoakFault::PlainSlow, "plain-slow" },
        EnumName { SoakFault::StoreDown, "store-down" },
        EnumName { SoakFault::StoreSlow, "store-slow" },
        EnumName { SoakFault::StoreLosesAnswers, "store-loses-answers" },
        EnumName { SoakFault::StoreSilentWatches, "store-silent-watches" },
        EnumName { SoakFault::StoreStaleReads, "store-stale-reads" },
        EnumName { SoakFault::RouterKilled, "router-killed" },
        EnumName { SoakFault::RouterPaused, "router-paused" },
        EnumName { SoakFault::RouterStopped, "router-stopped" },
        EnumName { SoakFault::RouterHerdRestart, "router-herd-restart" },
        EnumName { SoakFault::KeyWithdrawn, "key-withdrawn" },
    };
};

/// Guarantees that a soak run checks through the external interfaces of the system.
enum class SoakGuarantee {
    StreamsComplete,
    CutStreamsLookIncomplete,
    ResponsesMatchRequests,
    CallsRunAtMostOnce,
    NotRunIsTrue,
    NoKeyUpstream,
    WithdrawnKeysStop,
    RevisionsNeverRevert,
    GracefulStopsCutNothing,
};

template <> struct EnumTable<SoakGuarantee> {
    static constexpr std::array rows {
        EnumName { SoakGuarantee::StreamsComplete, "streams arrive complete and in order" },
        EnumName { SoakGuarantee::CutStreamsLookIncomplete, "a truncated stream never looks complete" },
        EnumName { SoakGuarantee::ResponsesMatchRequests, "a caller receives the response to its own request" },
        EnumName { SoakGuarantee::CallsRunAtMostOnce, "non-idempotent calls run at most once" },
        EnumName { SoakGuarantee::NotRunIsTrue, "a call that was refused as not-run did not run" },
        EnumName { SoakGuarantee::NoKeyUpstream, "no upstream receives a caller's key" },
        EnumName { SoakGuarantee::WithdrawnKeysStop, "a withdrawn key stops within 5 s" },
        EnumName { SoakGuarantee::RevisionsNeverRevert, "configuration never reverts" },
        EnumName { SoakGuarantee::GracefulStopsCutNothing, "a graceful shutdown terminates no request" },
    };
};

/// One router under test.
struct SoakRouter {
    Endpoint callers;
    Endpoint admin;
    /// File that contains the id of its current process.
    std::string pidFile;
    /// File to which all its processes append their standard error.
    std::string logFile;
};

/// Parameters of a soak run.
struct SoakOptions {
    std::uint64_t seed = 1;
    std::chrono::seconds duration { 60 };
    std::vector<SoakRouter> routers;
    std::vector<Endpoint> engines;
    std::vector<Endpoint> plain;
    Endpoint store;
    std::string adminToken;
    std::string model;
    std::string version;
    std::vector<std::string> organisations;
    std::uint32_t clients = 24;
    std::uint32_t maxTokens = 24;
    /// Mean time between the starts of two faults.
    std::chrono::milliseconds faultInterval { 700 };
};

} // namespace Pollenwind
