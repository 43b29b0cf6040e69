#pragma once

#include "Gateway/AffinityPolicy.h"
#include "Gateway/CacheDirectory.h"
#include "Gateway/CrashDetector.h"
#include "Gateway/FleetQuota.h"
#include "Gateway/FleetView.h"
#include "Gateway/ForwardDispatcher.h"
#include "Gateway/PartQuarantine.h"
#include "Gateway/RolloutTable.h"
#include "Gateway/RoutingTable.h"
#include "Gateway/RunnerTable.h"
#include "Metrics/MetricTable.h"
#include "Timeline/Timeline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pollenwind {

/// Runs a task until it completes.
template <typename T> T runTask(asio::io_context& context, Task<T> task)
{
    std::optional<T> result;
    asio::co_spawn(context, std::move(task), [&result](const std::exception_ptr& error, T value) {
        cr_assert(!error);
        result = std::move(value);
    });
    context.restart();
    context.run();
    cr_assert(result.has_value());
    return std::move(*result);
}

/// Behaviour of a scripted runner for one request.
struct ScriptedAttempt {
    /// The runner does not read the request while it is silent.
    bool isUnread = false;
    /// Error instead of the head of a response.
    std::optional<Error> beginError = std::nullopt;
    ReplyKind kind = ReplyKind::Answer;
    int status = 200;
    bool isEventStream = false;
    std::vector<std::string> parts = {};
    /// Time from one part to the next.
    std::chrono::milliseconds partInterval { 0 };
    /// Time without a byte before the head.
    std::chrono::milliseconds headSilence { 0 };
    /// Error after the parts instead of the end of the body.
    std::optional<Error> endError = std::nullopt;
    /// Called when the request arrives, e.g. to disconnect the caller.
    std::function<void()> onArrival = {};
    bool isLeaving = false;
    std::optional<std::chrono::milliseconds> unwantedFor = std::nullopt;
    ReplyOrigin origin { .namesRequest = true, .isStamped = true };
    /// Called while the request waits for its connection.
    std::function<void()> onConnect = {};
    /// Keeps the request waiting for its connection until it is notified.
    WaitList* gate = nullptr;
};

/// One request that arrived at a scripted runner.
struct Arrival {
    Endpoint endpoint;
    RequestId request;
    AttemptTerms terms;
    bool mayReuse = false;
};

/// Runners that respond as scripted, in the order in which requests arrive.
class ScriptedRunners final : public RunnerClient {
public:
    explicit ScriptedRunners(ManualClock& clock)
        : m_clock(clock)
    {
    }

    std::unique_ptr<RunnerExchange> open(
        const Endpoint& endpoint, const ForwardRequest& request, const AttemptTerms& terms, bool mayReuse) override
    {
        arrivals.push_back({ endpoint, request.id, terms, mayReuse });
        cr_assert(!script.empty(), "a request arrived that the script does not expect");
        auto attempt = std::move(script.front());
        script.pop_front();
        return std::make_unique<Exchange>(*this, endpoint, std::move(attempt));
    }

    std::deque<ScriptedAttempt> script;
    std::vector<Arrival> arrivals;
    /// Longest time that each request was given until the head of its response.
    std::vector<std::chrono::nanoseconds> timeouts;
    /// Runners to which requests were sent after their connections were made.
    std::vector<Endpoint> sent;
    unsigned cancelled = 0;
    unsigned finished = 0;

private:
    class Exchange final : public RunnerExchange {
    public:
        Exchange(ScriptedRunners& owner, Endpoint endpoint, ScriptedAttempt attempt)
            : m_owner(owner)
            , m_endpoint(std::move(endpoint))
            , m_attempt(std::move(attempt))
        {
        }

        Task<Outcome<void>> connect(std::chrono::nanoseconds) override
        {
            if (m_attempt.onConnect) {
                m_attempt.onConnect();
            }
            if (m_attempt.gate) {
                co_await m_attempt.gate->waitFor(std::chrono::minutes(1));
            }
            co_return Outcome<void> {};
        }
        Task<Outcome<ReplyHead>> begin(std::chrono::nanoseconds timeout) override
        {
            m_owner.timeouts.push_back(timeout);
            m_owner.sent.push_back(m_endpoint);
            if (m_attempt.onArrival) {
                m_attempt.onArrival();
            }
            if (m_attempt.beginError) {
                co_return std::unexpected(*m_attempt.beginError);
            }
            m_silence = m_attempt.headSilence;
            co_return co_await awaitHead(timeout);
        }
        Task<Outcome<ReplyHead>> awaitHead(std::chrono::nanoseconds timeout) override
        {
            if (m_attempt.beginError) {
                m_owner.m_clock.advance(std::max(timeout, std::chrono::nanoseconds(0)));
                co_return std::unexpected(*m_attempt.beginError);
            }
            if (!waitOut(timeout)) {
                co_return fail(ErrorCode::DeadlineExceeded, "no head in time", RunState::Unknown);
            }
            ReplyHead head;
            head.kind = m_attempt.kind;
            head.status = m_attempt.status;
            head.isEventStream = m_attempt.isEventStream;
            head.isLeaving = m_attempt.isLeaving;
            head.origin = m_attempt.origin;
            head.unwantedFor = m_attempt.unwantedFor;
            m_silence = m_attempt.partInterval;
            co_return head;
        }
        bool isRequestSent() const override { return !m_attempt.isUnread; }
        Task<Outcome<std::string>> readSome(std::chrono::nanoseconds timeout) override
        {
            if (!waitOut(timeout)) {
                co_return std::unexpected(Error { ErrorCode::DeadlineExceeded, "no byte in time", RunState::Unknown });
            }
            m_silence = m_attempt.partInterval;
            if (m_next < m_attempt.parts.size()) {
                co_return m_attempt.parts[m_next++];
            }
            if (m_attempt.endError) {
                co_return std::unexpected(*m_attempt.endError);
            }
            co_return std::string();
        }
        void cancel() override { ++m_owner.cancelled; }
        void finish() override { ++m_owner.finished; }

    private:
        /// Lets time pass.
        /// @return False if the timeout is shorter than what is left of the silence.
        bool waitOut(std::chrono::nanoseconds timeout)
        {
            const auto passed = std::min(m_silence, std::max(timeout, std::chrono::nanoseconds(0)));
            m_owner.m_clock.advance(passed);
            m_silence -= passed;
            return m_silence.count() == 0;
        }

        ScriptedRunners& m_owner;
        Endpoint m_endpoint;
        ScriptedAttempt m_attempt;
        /// What is left of the time without a byte.
        std::chrono::nanoseconds m_silence { 0 };
        std::size_t m_next = 0;
    };

    ManualClock& m_clock;
};

/// Records the response that a caller gets.
class RecordingSink final : public ReplySink {
public:
    Task<Outcome<void>> answer(const ReplyHead& head, std::string text) override
    {
        status = head.status;
        body = std::move(text);
        isComplete = true;
        co_return Outcome<void> {};
    }
    Task<Outcome<void>> begin(const ReplyHead& head) override
    {
        status = head.status;
        co_return Outcome<void> {};
    }
    Task<Outcome<void>> write(std::string_view part) override
    {
        if (onWrite) {
            onWrite();
        }
        body += part;
        co_return Outcome<void> {};
    }
    Task<Outcome<void>> end() override
    {
        isComplete = true;
        co_return Outcome<void> {};
    }
    void onStop(std::function<void()> handler) override { m_handler = std::move(handler); }
    std::optional<Error> stopReason() const override { return m_reason; }

    void stop(ErrorCode code)
    {
        m_reason = Error { code, "stopped by the test" };
        if (m_handler) {
            m_handler();
        }
    }

    int status = 0;
    std::string body;
    bool isComplete = false;
    /// Called before each part is written.
    std::function<void()> onWrite;

private:
    std::function<void()> m_handler;
    std::optional<Error> m_reason;
};

/// Freshness of the local copy of the store, as set by the test.
class FixedFreshness final : public FreshnessQueries {
public:
    std::chrono::nanoseconds age() const override { return {}; }
    bool mayAcceptKeys() const override { return acceptsKeys; }

    bool acceptsKeys = true;
};

inline RouteRule makeRoute(std::string prefix, RequestKind kind, unsigned maxAttempts, bool isResumable = false)
{
    RouteRule route;
    route.name = prefix;
    route.host = "shop.example";
    route.prefix = std::move(prefix);
    route.kind = kind;
    route.shares = { { ServiceId("app"), 1 } };
    route.maxAttempts = maxAttempts;
    route.isResumable = isResumable;
    return route;
}

inline RunnerEntry makeRunner(const std::string& id, const std::string& service = "app")
{
    RunnerEntry entry;
    entry.id = UpstreamId(id);
    entry.service = ServiceId(service);
    entry.endpoint = { "127.0.0.1", static_cast<std::uint16_t>(9000 + id.back()) };
    entry.zone = ZoneId("a");
    entry.incarnation = Incarnation(1);
    entry.slots = 8;
    entry.weights["model"] = 1;
    return entry;
}

inline OrganisationRule makeOrganisation(const std::string& id, double rate)
{
    OrganisationRule organisation;
    organisation.id = OrganisationId(id);
    organisation.keyDigests = { sha256("key-of-" + id) };
    organisation.rate = rate;
    organisation.burst = rate;
    return organisation;
}

/// Addresses that refuse connections, as set by the test.
class ScriptedProbe final : public RunnerProbe {
public:
    Task<bool> isRefused(const Endpoint&) override
    {
        ++probes;
        co_return refuses;
    }

    bool refuses = false;
    unsigned probes = 0;
};

/// A dispatcher with real tables and scripted runners.
struct GatewayFixture {
    GatewayFixture()
    {
        RoutingConfiguration configuration;
        configuration.version = 1;
        configuration.routes = { makeRoute("/safe/", RequestKind::Safe, 2),
            makeRoute("/unsafe/", RequestKind::Unsafe, 2), makeRoute("/stream/", RequestKind::Streaming, 2),
            makeRoute("/resumable/", RequestKind::Streaming, 2, true) };
        configuration.organisations = { makeOrganisation("org", 1'000'000) };
        routing.adopt(configuration);
        for (const auto* id : { "r1", "r2", "r3" }) {
            runners.updateEntry(makeRunner(id));
        }
    }

    ForwardRequest makeRequest(const std::string& path)
    {
        ForwardRequest request;
        request.id = RequestId("q" + std::to_string(++requests));
        request.host = "shop.example";
        request.message.method = "POST";
        request.message.path = path;
        request.keyDigest = sha256("key-of-org");
        request.timeout = std::chrono::milliseconds(5000);
        return request;
    }

    Outcome<void> forward(const ForwardRequest& request)
    {
        return runTask(context, dispatcher.forward(request, clock.now(), sink));
    }

    asio::io_context context;
    ManualClock clock;
    MetricTable metrics;
    Timeline timeline { clock, "test" };
    RoutingTable routing { timeline };
    RunnerTable runners { clock, timeline, {} };
    FleetQuota quota { clock };
    CacheDirectory directory { clock };
    AffinityPolicy policy { ZoneId("a"), directory };
    RetryBudget retryBudget { clock };
    RolloutTable rollouts { clock, timeline, metrics, { { 0.1, 50 } } };
    FixedFreshness freshness;
    ScriptedRunners scripted { clock };
    RequestLog log { clock };
    RecordingSink sink;
    unsigned requests = 0;
    FleetView fleet { clock, timeline, VmId("vm"), ZoneId("a") };
    PartQuarantine quarantine { clock, timeline, metrics, fleet };
    ScriptedProbe probe;
    CrashDetector crashes { context.get_executor(), clock, runners, probe, quarantine };
    ForwardDispatcher dispatcher { { clock, routing, freshness, runners, runners, policy, directory, quota, retryBudget,
        scripted, metrics, log, quarantine, quarantine, crashes, rollouts, rollouts } };
};

} // namespace Pollenwind
