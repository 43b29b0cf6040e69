#pragma once

#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Placement/PlacementTypes.h"
#include "Transport/HttpServer.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace Pollenwind {

/// Faults that can be injected into the engine stand-in.
enum class EngineFault {
    /// All open and new connections are closed, those of health checks included.
    Down,
    /// Streams that are open when the fault is set stall without closing; later streams work.
    SilentStreams,
    /// The next generation calls are refused with X-Not-Started; the value is their number.
    Refuse,
    /// The next streams are aborted before their final event; the value is their number.
    Truncate,
    /// The next tokens carry the id of another request; the value is the number of tokens.
    CrossedAnswers,
    /// Decoding takes longer; the value is the factor.
    Slow,
    /// One in N cache events is lost; the value is N.
    LoseEvents,
};

template <> struct EnumTable<EngineFault> {
    static constexpr std::array rows {
        EnumName { EngineFault::Down, "down" },
        EnumName { EngineFault::SilentStreams, "silent-streams" },
        EnumName { EngineFault::Refuse, "refuse" },
        EnumName { EngineFault::Truncate, "truncate" },
        EnumName { EngineFault::CrossedAnswers, "crossed-answers" },
        EnumName { EngineFault::Slow, "slow" },
        EnumName { EngineFault::LoseEvents, "lose-events" },
    };
};

/// Defects of a model version that the engine stand-in can simulate; N is the value of the fault.
enum class VersionFault {
    /// One response in N fails before its first token.
    Fail,
    /// Decoding takes N times as long.
    Slow,
    /// One response in N is aborted before its final event.
    Cut,
};

template <> struct EnumTable<VersionFault> {
    static constexpr std::array rows {
        EnumName { VersionFault::Fail, "fail" },
        EnumName { VersionFault::Slow, "slow" },
        EnumName { VersionFault::Cut, "cut" },
    };
};

/// Cache size, speed and behaviour of the engine stand-in.
struct EngineStandInOptions {
    ServiceId service;
    VersionId version;
    std::uint32_t blockTokens = 2048;
    /// Capacity of the prefix cache, in blocks.
    std::size_t cacheBlocks = 64;
    std::chrono::nanoseconds prefillPerToken { 20'000 };
    std::chrono::nanoseconds decodePerToken { 5'000'000 };
    std::chrono::milliseconds loadTime { 300 };
    /// Rejects orders whose fencing token is older than the newest one received.
    bool checksFencing = true;
};

/// Test double of a model engine; implements docs/upstream-protocol.md. The text of a response is a function of prompt,
/// version and token index, so that a client can verify a response that was resumed on another engine.
class EngineStandIn final : public HttpHandler {
public:
    EngineStandIn(asio::any_io_executor executor, EngineStandInOptions options);

    Outcome<Endpoint> listen(const Endpoint& endpoint) { return m_server.listen(endpoint); }

    void setFault(EngineFault fault, std::int64_t value);
    /// Simulates a defect of a version; see VersionFault for the value. 0 ends the fault.
    void setVersionFault(const VersionId& version, VersionFault fault, std::int64_t value);
    /// Simulates a crash and restart: closes all connections, empties the cache and draws a new incarnation.
    void crash();
    /// Reports the state "leaving" from now on and refuses new generation calls.
    void leave() { m_isLeaving = true; }

    /// Text of one token of a response.
    static std::string tokenText(std::string_view prompt, const VersionId& version, std::uint32_t index);

    std::uint64_t startedCalls() const { return m_started; }
    std::uint64_t prefilledTokens() const { return m_prefilled; }
    std::uint64_t cachedTokens() const { return m_cachedTotal; }
    /// Returns whether a request with this id was started. Only the first 100,000 ids are recorded.
    bool hasStarted(const std::string& request) const { return m_startedRequests.contains(request); }
    /// Returns whether one of the last 100,000 received headers and bodies contains a text. Tests use it to verify that
    /// no caller key reaches an upstream.
    bool hasSeenText(std::string_view needle) const;

    Task<> handle(HttpExchange& exchange) override;
    HttpAnswer refusal(int status, std::string_view reason) const override;

private:
    struct Call;

    std::int64_t faultValue(EngineFault fault) const;
    bool consumeFault(EngineFault fault);
    Task<> generate(HttpExchange& exchange);
    Task<> streamTokens(HttpExchange& exchange, const Call& call);
    Task<> streamEvents(HttpExchange& exchange);
    Task<> executeOrder(HttpExchange& exchange);
    bool hasVersionFault(const Call& call, VersionFault fault) const;
    std::uint32_t lookUpAndStore(const PrefixChain& chain);
    void emitEvent(CacheEventKind kind, ChainHash hash);
    std::string healthBody() const;
    std::string handleControlRequest(const HttpRequest& request);

    EngineStandInOptions m_options;
    HttpServer m_server;
    Incarnation m_incarnation;
    std::set<VersionId> m_versions;
    bool m_isLoading = false;
    bool m_isLeaving = false;
    std::map<EngineFault, std::int64_t> m_faults;
    std::map<std::pair<VersionId, VersionFault>, std::int64_t> m_versionFaults;
    std::int64_t m_newestFencing = 0;
    /// Number of the next generation call. Streams of calls below m_silentBeforeCall are stalled.
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_silentBeforeCall = 0;
    std::list<ChainHash> m_leastRecentlyUsed;
    std::unordered_map<ChainHash, std::list<ChainHash>::iterator> m_cache;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_nextEvent = 1;
    std::chrono::steady_clock::time_point m_prefillIdleAt;
    std::uint32_t m_running = 0;
    double m_queuedTokens = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_prefilled = 0;
    std::uint64_t m_cachedTotal = 0;
    std::set<std::string> m_startedRequests;
    std::deque<std::string> m_seenTexts;
};

} // namespace Pollenwind
