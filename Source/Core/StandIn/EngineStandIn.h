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

/// Fault switch of the engine stand-in.
enum class EngineFault {
    /// Open and new connections are closed; health too.
    Down,
    /// Streams that are open now send nothing more; new ones work.
    SilentStreams,
    /// The next calls are refused as not started; the value is how many.
    Refuse,
    /// The next streams end without their last events; the value is how many.
    Truncate,
    /// The next tokens carry the id of another request; the value is how many.
    CrossedAnswers,
    /// Every token takes longer; the value is the factor.
    Slow,
    /// Cache events are lost; the value is one in how many.
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

/// How a bad version behaves on the engine stand-in.
enum class VersionFault {
    /// One answer in N fails before its first token.
    Fail,
    /// Every step takes N times as long.
    Slow,
    /// One answer in N ends early.
    Cut,
};

template <> struct EnumTable<VersionFault> {
    static constexpr std::array rows {
        EnumName { VersionFault::Fail, "fail" },
        EnumName { VersionFault::Slow, "slow" },
        EnumName { VersionFault::Cut, "cut" },
    };
};

/// Size and speed of the engine stand-in.
struct EngineStandInOptions {
    ServiceId service;
    VersionId version;
    std::uint32_t pieceTokens = 2048;
    /// Pieces that fit into the prefix cache.
    std::size_t cacheBlocks = 64;
    std::chrono::nanoseconds prefillPerToken { 20'000 };
    std::chrono::nanoseconds decodePerToken { 5'000'000 };
    std::chrono::milliseconds loadTime { 300 };
    /// Refuse orders with an older fencing token than one seen before.
    bool checksFencing = true;
};

/// Stand-in for a model engine; speaks docs/upstream-protocol.md. The text of an answer is a function of prompt,
/// version and token index, so that a reader can tell whether a resumed answer is right.
class EngineStandIn final : public HttpHandler {
public:
    EngineStandIn(asio::any_io_executor executor, EngineStandInOptions options);

    Outcome<Endpoint> listen(const Endpoint& endpoint) { return m_server.listen(endpoint); }

    void setFault(EngineFault fault, std::int64_t value);
    /// Makes a version bad; see VersionFault for the value.
    void setVersionFault(const VersionId& version, VersionFault fault, std::int64_t value);
    /// Closes all connections, empties the cache and takes a new incarnation, as a crashed and restarted engine.
    void crash();
    /// Announces that the engine leaves.
    void leave() { m_isLeaving = true; }

    /// Text of one token of an answer.
    static std::string tokenText(std::string_view prompt, const VersionId& version, std::uint32_t index);

    std::uint64_t startedCalls() const { return m_started; }
    std::uint64_t prefilledTokens() const { return m_prefilled; }
    std::uint64_t cachedTokens() const { return m_cachedTotal; }
    /// Tells whether a request of this id was started. The ids of the first 100,000 are kept.
    bool hasStarted(const std::string& request) const { return m_startedRequests.contains(request); }
    /// Tells whether a recent request held a text in a header or its body. Lets a test show that no key arrives.
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
    /// Generation of open streams; streams older than the silent mark send nothing.
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
