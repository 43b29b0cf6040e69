#pragma once

#include "Config/ConfigurationTable.h"
#include "Dispatch/AdmissionQueue.h"
#include "Dispatch/CompletionDispatcher.h"
#include "Dispatch/PlainDispatcher.h"
#include "Dispatch/StoreClaims.h"
#include "Http/CallerFrontEnd.h"
#include "Keys/KeyTable.h"
#include "Limits/Commands/LimitCommands.h"
#include "Metrics/MetricTable.h"
#include "Moves/MoveTable.h"
#include "Placement/ComparisonPolicies.h"
#include "StandIn/EngineStandIn.h"
#include "StandIn/PlainStandIn.h"
#include "StandIn/StoreStandIn.h"
#include "Store/EtcdGatewayClient.h"
#include "Timeline/Timeline.h"
#include "Upstream/HttpUpstreamClient.h"
#include "Upstream/UpstreamTable.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <deque>
#include <functional>
#include <optional>
#include <set>

namespace Pollenwind {

/// Discards all cache updates; cache knowledge is not under test here.
class NullCacheCommands final : public CacheCommands {
public:
    void recordPlacement(const PlacementChoice&, const PrefixChain&) override { }
    void recordCachedTokens(const PlacementChoice&, const PrefixChain&, std::uint32_t) override { }
    void onCacheEvent(const UpstreamId&, const CacheEvent&) override { }
    void setEventStreamActive(const UpstreamId&, bool) override { }
    void setIncarnation(const UpstreamId&, Incarnation) override { }
};

/// Reports shared records that are always up to date.
class FreshRecords final : public RecordFreshness {
public:
    std::chrono::nanoseconds age() const override { return {}; }
};

/// Admits every request; limits are not under test here. Fails the test when a reservation is settled twice.
class AdmitAllLimits final : public LimitCommands {
public:
    Task<Outcome<ReservationId>> reserve(OrganisationId, double, MonotonicTime) override
    {
        const ReservationId id(m_next++);
        m_open.insert(id);
        co_return id;
    }
    void settle(ReservationId reservation, double) override { cr_assert_eq(m_open.erase(reservation), 1); }

private:
    std::set<ReservationId> m_open;
    std::uint64_t m_next = 1;
};

/// Size and timeouts of a ServingFixture. The timeouts are far above the response times of a loaded machine, so that
/// only calls that an injected fault has stalled reach them.
struct FixtureOptions {
    std::size_t engines = 2;
    std::size_t runners = 2;
    DispatchTimeouts timeouts { std::chrono::milliseconds(100), std::chrono::milliseconds(1500),
        std::chrono::milliseconds(500) };
    std::chrono::nanoseconds decodePerToken = std::chrono::microseconds(200);
    std::chrono::nanoseconds prefillPerToken = std::chrono::nanoseconds(100);
    std::chrono::milliseconds storeTimeout { 5000 };
    std::chrono::milliseconds requestDeadline { 20'000 };
};

/// The components of one router between the caller's connection and the upstreams.
struct RouterUnderTest {
    RouterUnderTest(asio::any_io_executor executor, const Endpoint& storeEndpoint, const FixtureOptions& options);

    SystemClock clock;
    MetricTable metrics;
    Timeline timeline;
    ConfigurationTable configuration;
    KeyTable keys;
    AdmitAllLimits limits;
    WholePrefixPolicy placement;
    NullCacheCommands cache;
    UpstreamTable upstreams;
    HttpUpstreamClient client;
    EtcdGatewayClient store;
    StoreClaims claims;
    RetryBudget retryBudget;
    AdmissionQueue admission;
    FreshRecords freshness;
    SequentialEvaluator evaluator;
    MoveTable moves;
    DispatchContext context;
    CompletionDispatcher completions;
    PlainDispatcher plain;
    CallerFrontEnd frontEnd;
    HttpServer server;
    Endpoint endpoint;
};

/// Store, engines, runners and any number of routers in one io_context, over real sockets.
class ServingFixture {
public:
    static constexpr std::string_view callerKey = "test-key-of-organisation-a";

    explicit ServingFixture(FixtureOptions options = {});

    RouterUnderTest& addRouter();
    /// Runs one health check of every upstream at every router.
    Task<> probeHealth();
    /// Runs a task to completion; fails the test if it takes longer than 60 s.
    void run(std::function<Task<>()> task);

    CompletionRequest completion(std::string prompt, std::uint32_t maxTokens) const;
    PlainRequest booking(std::string idempotencyKey, std::string body = "{}") const;
    PlainRequest lookup() const;

    asio::io_context context { 1 };
    FixtureOptions options;
    StoreStandIn store;
    Endpoint storeEndpoint;
    std::deque<EngineStandIn> engines;
    std::deque<PlainStandIn> runners;
    std::deque<RouterUnderTest> routers;
    ServiceDocument document;
    std::string documentText;
};

/// Collects the tokens of one response.
class CollectingSink final : public TokenSink {
public:
    Task<Outcome<void>> write(const TokenChunk& chunk) override
    {
        if (isGone) {
            co_return fail(ErrorCode::ConnectionLost, "gone", RunState::Unknown);
        }
        isOrdered = isOrdered && chunk.index == tokens;
        ++tokens;
        text += chunk.text;
        if (onToken) {
            onToken(tokens);
        }
        co_return Outcome<void> {};
    }

    bool isCallerGone() override { return isGone; }

    std::string text;
    std::uint32_t tokens = 0;
    bool isOrdered = true;
    bool isGone = false;
    std::function<void(std::uint32_t)> onToken;
};

/// Expected text of a complete response.
std::string expectedText(std::string_view prompt, std::uint32_t tokens);

} // namespace Pollenwind
