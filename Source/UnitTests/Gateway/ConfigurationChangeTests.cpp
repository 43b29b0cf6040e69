#include "Gateway/GatewayFixture.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// What a request waits for.
enum class WaitKind {
    FirstConfiguration,
    Tokens,
    Connection,
    Head,
    Body,
    /// The connection of the second attempt, after the first one was refused.
    SecondConnection,
};

constexpr std::array waitKinds { WaitKind::FirstConfiguration, WaitKind::Tokens, WaitKind::Connection, WaitKind::Head,
    WaitKind::Body, WaitKind::SecondConnection };

/// How a wait ends.
enum class WaitEnd {
    Released,
    DeadlinePassed,
    CallerLeft,
};

constexpr std::array waitEnds { WaitEnd::Released, WaitEnd::DeadlinePassed, WaitEnd::CallerLeft };

/// Runners that hold each request at one point until it is released or cancelled.
class HoldingRunners final : public RunnerClient {
public:
    std::unique_ptr<RunnerExchange> open(
        const Endpoint& endpoint, const ForwardRequest&, const AttemptTerms&, bool) override
    {
        endpoints.push_back(endpoint);
        return std::make_unique<Exchange>(*this);
    }

    /// Lets the held request go on.
    void release()
    {
        isReleased = true;
        gate.notifyAll();
    }

    WaitKind holdsAt = WaitKind::Connection;
    bool isReleased = false;
    WaitList gate;
    std::vector<Endpoint> endpoints;
    /// Requests that were sent.
    unsigned sent = 0;
    unsigned answered = 0;

private:
    class Exchange final : public RunnerExchange {
    public:
        explicit Exchange(HoldingRunners& owner)
            : m_owner(owner)
        {
        }

        Task<Outcome<void>> connect(std::chrono::nanoseconds) override
        {
            const bool isSecond = m_owner.holdsAt == WaitKind::SecondConnection && m_owner.sent == 1;
            if (m_owner.holdsAt == WaitKind::Connection || isSecond) {
                co_await hold();
            }
            if (m_isCancelled) {
                co_return fail(ErrorCode::ConnectFailed, "cancelled");
            }
            co_return Outcome<void> {};
        }
        Task<Outcome<ReplyHead>> begin(std::chrono::nanoseconds) override
        {
            ++m_owner.sent;
            ReplyHead head;
            if (m_owner.holdsAt == WaitKind::SecondConnection && m_owner.sent == 1) {
                head.kind = ReplyKind::NotRun;
                head.status = 503;
                co_return head;
            }
            if (m_owner.holdsAt == WaitKind::Head) {
                co_await hold();
            }
            if (m_isCancelled) {
                co_return fail(ErrorCode::ConnectionLost, "cancelled", RunState::Unknown);
            }
            head.kind = ReplyKind::Answer;
            head.status = 200;
            co_return head;
        }
        Task<Outcome<ReplyHead>> awaitHead(std::chrono::nanoseconds) override
        {
            co_return fail(ErrorCode::ConnectionLost, "the head has arrived", RunState::Unknown);
        }
        bool isRequestSent() const override { return true; }
        Task<Outcome<std::string>> readSome(std::chrono::nanoseconds) override
        {
            if (m_owner.holdsAt == WaitKind::Body) {
                co_await hold();
            }
            if (m_isCancelled) {
                co_return fail(ErrorCode::ConnectionLost, "cancelled", RunState::Unknown);
            }
            if (std::exchange(m_isRead, true)) {
                ++m_owner.answered;
                co_return std::string();
            }
            co_return "body";
        }
        void cancel() override
        {
            m_isCancelled = true;
            m_owner.gate.notifyAll();
        }
        void finish() override { }

    private:
        Task<> hold()
        {
            if (!m_owner.isReleased && !m_isCancelled) {
                // Longer than the test may take, so that a stop that is not honoured fails it.
                co_await m_owner.gate.waitFor(10min);
            }
        }

        HoldingRunners& m_owner;
        bool m_isCancelled = false;
        bool m_isRead = false;
    };
};

/// A dispatcher with runners that hold requests, and a change while a request waits.
struct ChangeFixture : GatewayFixture {
    explicit ChangeFixture(WaitKind kind)
        : wait(kind)
    {
        runners.updateEntry(makeRunner("r9", "other"));
        holding.holdsAt = kind;
        if (kind == WaitKind::Tokens) {
            while (quota.take(routing.current()->organisations.front(), { 10'000 })) { }
        }
    }

    RoutingTable& table() { return wait == WaitKind::FirstConfiguration ? starting : routing; }

    /// Starts a request and lets it run until it waits.
    void start(const std::string& path)
    {
        request = makeRequest(path);
        request.tokens = TokenCount { 50'000, 0 };
        asio::co_spawn(context, holdingDispatcher.forward(request, clock.now(), sink),
            [this](const std::exception_ptr& error, Outcome<void> outcome) {
                cr_assert(!error);
                ++ends;
                result = std::move(outcome);
            });
        context.poll();
    }

    /// Puts a configuration into force as the gateway does.
    void adopt(RoutingConfiguration configuration)
    {
        configuration.version = table().current()->version + 1;
        table().adopt(configuration);
        quota.setOrganisations(table().current()->organisations);
        holdingDispatcher.onConfigurationRead();
    }

    void endWait(WaitEnd end)
    {
        switch (end) {
        case WaitEnd::Released:
            holding.release();
            break;
        case WaitEnd::DeadlinePassed:
            sink.stop(ErrorCode::DeadlineExceeded);
            break;
        case WaitEnd::CallerLeft:
            sink.stop(ErrorCode::Cancelled);
            break;
        }
        context.restart();
        context.run();
    }

    WaitKind wait;
    RoutingTable starting { timeline };
    HoldingRunners holding;
    ForwardDispatcher holdingDispatcher { { clock, table(), freshness, runners, runners, policy, directory, quota,
        retryBudget, holding, metrics, log, quarantine, quarantine, crashes, rollouts, rollouts } };
    ForwardRequest request;
    std::optional<Outcome<void>> result;
    unsigned ends = 0;
};

struct Change {
    const char* name;
    void (*apply)(ChangeFixture&, RoutingConfiguration&);
};

void setRunners(ChangeFixture& fixture, RunnerState state, std::uint64_t incarnation)
{
    for (const auto* id : { "r1", "r2", "r3", "r9" }) {
        auto entry = makeRunner(id, id == std::string_view("r9") ? "other" : "app");
        entry.state = state;
        entry.incarnation = Incarnation(incarnation);
        fixture.runners.updateEntry(entry);
    }
}

const std::array changes {
    Change { "route removed", [](ChangeFixture&, RoutingConfiguration& it) { it.routes.clear(); } },
    Change { "route moved",
        [](ChangeFixture&, RoutingConfiguration& it) {
            for (auto& route : it.routes) {
                route.shares = { { ServiceId("other"), 1 } };
            }
        } },
    Change { "service removed",
        [](ChangeFixture& fixture, RoutingConfiguration& it) {
            it.routes.clear();
            it.services.clear();
            fixture.runners.replaceEntries({});
        } },
    Change { "service of the route has no runners",
        [](ChangeFixture& fixture, RoutingConfiguration&) { fixture.runners.replaceEntries({}); } },
    Change { "organisation replaced",
        [](ChangeFixture&, RoutingConfiguration& it) { it.organisations = { makeOrganisation("second", 10) }; } },
    Change { "all organisations removed", [](ChangeFixture&, RoutingConfiguration& it) { it.organisations.clear(); } },
    Change { "key withdrawn",
        [](ChangeFixture&, RoutingConfiguration& it) {
            it.organisations.front().keyDigests = { sha256("another key") };
        } },
    Change { "timeout shortened",
        [](ChangeFixture&, RoutingConfiguration& it) {
            for (auto& route : it.routes) {
                route.timeout = 1ms;
            }
        } },
    Change { "fewer attempts",
        [](ChangeFixture&, RoutingConfiguration& it) {
            for (auto& route : it.routes) {
                route.maxAttempts = 1;
            }
        } },
    Change { "no rate limit", [](ChangeFixture&, RoutingConfiguration& it) { it.organisations.front().rate = 0; } },
    Change { "lower rate limit", [](ChangeFixture&, RoutingConfiguration& it) { it.organisations.front().rate = 1; } },
    Change { "shorter idle limit", [](ChangeFixture&, RoutingConfiguration& it) { it.limits.idleTimeout = 1ms; } },
    Change { "runners leave",
        [](ChangeFixture& fixture, RoutingConfiguration&) { setRunners(fixture, RunnerState::Draining, 1); } },
    Change { "runners restart",
        [](ChangeFixture& fixture, RoutingConfiguration&) { setRunners(fixture, RunnerState::Ready, 2); } },
};

} // namespace

// Guards against a request that gets no answer, or an answer that says "not run" after it was sent, because its route,
// its service, its organisation, its key or its limits changed while it waited. A rule of a replaced configuration that
// is still used shows as an error of the address sanitizer.
Test(ConfigurationChange, endsEachWaitWithOneAnswer, .timeout = 60)
{
    for (const auto wait : waitKinds) {
        for (const auto& change : changes) {
            for (const auto end : waitEnds) {
                for (const auto* path : { "/safe/x", "/unsafe/x", "/stream/x", "/resumable/x" }) {
                    ChangeFixture fixture(wait);
                    auto configuration = *fixture.routing.current();
                    fixture.start(path);
                    cr_assert_eq(
                        fixture.ends, 0, "wait %d, %s: the request does not wait", static_cast<int>(wait), change.name);
                    change.apply(fixture, configuration);
                    fixture.adopt(configuration);
                    fixture.endWait(end);
                    const auto context = std::string(change.name) + " in wait " + std::to_string(static_cast<int>(wait))
                        + ", end " + std::to_string(static_cast<int>(end)) + ", " + path;
                    const auto& holding = fixture.holding;
                    cr_assert_eq(fixture.ends, 1, "%s", context.c_str());
                    if (fixture.result->has_value()) {
                        cr_assert(fixture.sink.isComplete && fixture.sink.body == "body", "%s", context.c_str());
                        continue;
                    }
                    cr_assert(!fixture.sink.isComplete && fixture.sink.status == 0, "%s", context.c_str());
                    const unsigned refused = wait == WaitKind::SecondConnection && holding.sent > 0 ? 1 : 0;
                    const bool mayHaveRun = holding.sent > refused;
                    cr_assert_eq(
                        fixture.result->error().runState == RunState::NotRun, !mayHaveRun, "%s", context.c_str());
                    const bool wasStopped = end != WaitEnd::Released && wait != WaitKind::FirstConfiguration;
                    cr_assert(!wasStopped || holding.answered == 0, "%s", context.c_str());
                }
            }
        }
    }
}

// A change of the configuration must not fail a request that was sent under the one before: only the end of its runner
// or of its time does.
Test(ConfigurationChange, servesWhatTheConfigurationAtItsArrivalAllowed, .timeout = 60)
{
    for (const auto wait : waitKinds) {
        if (wait == WaitKind::FirstConfiguration) {
            continue;
        }
        for (const auto& change : changes) {
            ChangeFixture fixture(wait);
            auto configuration = *fixture.routing.current();
            fixture.start("/unsafe/x");
            change.apply(fixture, configuration);
            fixture.adopt(configuration);
            fixture.endWait(WaitEnd::Released);
            const bool mustBeServed = !std::string_view(change.name).starts_with("runners")
                && !std::string_view(change.name).starts_with("service");
            cr_assert(!mustBeServed || fixture.result->has_value(), "%s in wait %d: %s", change.name,
                static_cast<int>(wait), fixture.result->has_value() ? "" : fixture.result->error().message.c_str());
        }
    }
}

// A request whose time is over when its wait for tokens ends, e.g. in a process that was paused, was recorded as an
// attempt that its runner had failed: the runner got one request less than it has, and its circuit breaker counted a
// failure.
Test(ConfigurationChange, blamesNoRunnerForARequestWhoseTimeIsOverBeforeItIsSent)
{
    ChangeFixture fixture(WaitKind::Head);
    fixture.runners.replaceEntries({ makeRunner("r1") });
    fixture.start("/unsafe/x");
    cr_assert_eq(fixture.holding.sent, 1);
    const auto load = [&] { return fixture.runners.ownLoads().at(runnerHash(UpstreamId("r1"))).requests; };
    cr_assert_eq(load(), 1);
    while (fixture.quota.take(fixture.routing.current()->organisations.front(), { 10'000 })) { }
    auto late = fixture.makeRequest("/unsafe/x");
    late.tokens = TokenCount { 50'000, 0 };
    RecordingSink sink;
    std::optional<Outcome<void>> result;
    asio::co_spawn(fixture.context, fixture.holdingDispatcher.forward(late, fixture.clock.now(), sink),
        [&result](const std::exception_ptr&, Outcome<void> outcome) { result = std::move(outcome); });
    fixture.context.poll();
    fixture.clock.advance(*late.timeout);
    while (!result) {
        fixture.context.run_one();
    }
    cr_assert(!*result && result->error().runState == RunState::NotRun);
    cr_assert_eq(fixture.runners.ownLoads().size(), 1, "the runner has no request");
    cr_assert_eq(load(), 1);
    cr_assert_eq(fixture.metrics.total(Counter::UpstreamFailures), 0);
    fixture.endWait(WaitEnd::Released);
}

// A request whose time runs out while it waits for its connection must not be sent: it would run in vain, and its
// caller would be told that it may have run.
Test(ConfigurationChange, doesNotSendARequestWhoseTimeIsOverWhenItsConnectionIsMade)
{
    for (const auto* path : { "/safe/x", "/unsafe/x", "/stream/x", "/resumable/x" }) {
        ChangeFixture fixture(WaitKind::Connection);
        fixture.start(path);
        fixture.clock.advance(*fixture.request.timeout);
        fixture.endWait(WaitEnd::Released);
        cr_assert_eq(fixture.holding.sent, 0, "%s", path);
        cr_assert(!*fixture.result && fixture.result->error().runState == RunState::NotRun, "%s", path);
    }
}

// Guards against a permission that ran out while the request waited, e.g. in a process that was paused: a key must not
// be accepted when a withdrawal may have been missed.
Test(ConfigurationChange, sendsNoRequestWhoseKeyIsUnconfirmedAfterItsWait)
{
    for (const bool isPublic : { false, true }) {
        ChangeFixture fixture(WaitKind::Tokens);
        auto configuration = *fixture.routing.current();
        for (auto& route : configuration.routes) {
            route.isPublic = isPublic;
        }
        fixture.adopt(configuration);
        fixture.start("/unsafe/x");
        cr_assert_eq(fixture.ends, 0);
        fixture.freshness.acceptsKeys = false;
        fixture.endWait(WaitEnd::Released);
        cr_assert_eq(fixture.holding.sent, isPublic ? 1 : 0);
        cr_assert_eq(fixture.result->has_value(), isPublic);
        if (!isPublic) {
            const auto& error = fixture.result->error();
            cr_assert(error.code == ErrorCode::KeyUnconfirmed && error.runState == RunState::NotRun);
            cr_assert(error.retryAfter.has_value());
        }
    }
}
