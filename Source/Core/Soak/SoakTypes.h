#pragma once

#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Transport/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Pollenwind {

/// Fault drawn by a soak run.
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
    RouterPaused,
    RouterStopped,
    RouterHerdRestart,
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

/// What a soak run checks from outside.
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
        EnumName { SoakGuarantee::CutStreamsLookIncomplete, "a cut stream never looks complete" },
        EnumName { SoakGuarantee::ResponsesMatchRequests, "a caller gets the answer to its own request" },
        EnumName { SoakGuarantee::CallsRunAtMostOnce, "non-idempotent calls run at most once" },
        EnumName { SoakGuarantee::NotRunIsTrue, "a refusal saying not-run is true" },
        EnumName { SoakGuarantee::NoKeyUpstream, "no upstream sees a caller's key" },
        EnumName { SoakGuarantee::WithdrawnKeysStop, "a withdrawn key stops within 5 s" },
        EnumName { SoakGuarantee::RevisionsNeverRevert, "configuration never reverts" },
        EnumName { SoakGuarantee::GracefulStopsCutNothing, "a graceful shutdown cuts no request" },
    };
};

/// One router under test.
struct SoakRouter {
    Endpoint callers;
    Endpoint admin;
    /// File that holds the process id of its current process.
    std::string pidFile;
    /// File that collects the standard error of all its processes.
    std::string logFile;
};

/// Shape of a soak run.
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
    /// Mean time between two faults.
    std::chrono::milliseconds faultInterval { 700 };
};

} // namespace Pollenwind
