#include "Support/ServingFixture.h"

namespace Pollenwind {

namespace {

    const VersionId version("v1");
    const Endpoint anyPort { "127.53.0.1", 0 };

    std::string upstreamText(std::string_view name, std::size_t n, const Endpoint& endpoint)
    {
        return std::string(n > 0 ? "," : "") + R"({"name":")" + std::string(name) + std::to_string(n)
            + R"(","address":")" + endpoint.toString() + R"(","zone":"a"})";
    }

} // namespace

RouterUnderTest::RouterUnderTest(
    asio::any_io_executor executor, const Endpoint& storeEndpoint, const FixtureOptions& options)
    : timeline(clock, "router")
    , configuration(timeline)
    , keys(clock, timeline, std::chrono::hours(1))
    , upstreams(clock, configuration, timeline, cache, metrics)
    , client(executor, std::chrono::milliseconds(500))
    , store(executor, storeEndpoint, { options.storeTimeout }, metrics)
    , claims(clock, store, metrics)
    , retryBudget(clock)
    , admission(clock, upstreams, metrics)
    , moves(clock, freshness, evaluator, timeline)
    , context { clock, configuration, keys, limits, placement, cache, upstreams, upstreams, metrics, retryBudget,
        admission, moves, moves, ZoneId("a"), options.timeouts }
    , completions(context, client)
    , plain(context, client, claims)
    , frontEnd({ clock, configuration, keys, completions, plain, metrics, options.requestDeadline })
    , server(executor, frontEnd, {})
    , endpoint(server.listen(anyPort).value())
{
    for (const auto& [key, organisation] :
        { std::pair { std::string(ServingFixture::callerKey), "a" }, { "test-key-of-organisation-b", "b" } }) {
        keys.merge({ sha256(key), OrganisationId(organisation), KeyState::Valid });
    }
    keys.confirm(clock.now());
}

ServingFixture::ServingFixture(FixtureOptions o)
    : options(o)
    , store(context.get_executor())
    , storeEndpoint(store.listen(anyPort).value())
{
    std::string engineList;
    std::string runnerList;
    for (std::size_t n = 0; n < options.engines; ++n) {
        EngineStandInOptions engine { ServiceId("fitter"), version };
        engine.decodePerToken = options.decodePerToken;
        engine.prefillPerToken = options.prefillPerToken;
        engines.emplace_back(context.get_executor(), engine);
        engineList += upstreamText("engine-", n, engines.back().listen(anyPort).value());
    }
    for (std::size_t n = 0; n < options.runners; ++n) {
        runners.emplace_back(context.get_executor(), version);
        runnerList += upstreamText("runner-", n, runners.back().listen(anyPort).value());
    }
    documentText = R"({"zones":["a"],"services":{"fitter":{"kind":"model","version":"v1","max_output_tokens":4000,
        "upstreams":[)"
        + engineList + R"(]},"booking":{"kind":"plain","version":"v1","upstreams":[)" + runnerList + R"(],"routes":[
        {"method":"POST","path":"/bookings","call":"non-idempotent"},
        {"method":"GET","path":"/hours","call":"idempotent"}]}},
        "organisations":{"a":{"rate":1e9,"burst":1e9},"b":{"rate":1e9,"burst":1e9}}})";
}

RouterUnderTest& ServingFixture::addRouter()
{
    auto& router = routers.emplace_back(context.get_executor(), storeEndpoint, options);
    cr_assert(router.configuration.adopt(Revision(1), documentText) == AdoptResult::Adopted);
    router.upstreams.reconfigure();
    run([&] { return probeHealth(); });
    return router;
}

Task<> ServingFixture::probeHealth()
{
    for (auto& router : routers) {
        for (const auto& status : router.upstreams.status()) {
            const auto report = co_await router.client.health(status.endpoint, std::chrono::milliseconds(500));
            router.upstreams.recordHealth(status.upstream, report);
        }
    }
}

void ServingFixture::run(std::function<Task<>()> task)
{
    std::exception_ptr failure;
    bool isDone = false;
    asio::co_spawn(context, std::move(task), [&](std::exception_ptr ex) {
        failure = ex;
        isDone = true;
        context.stop();
    });
    context.restart();
    context.run_for(std::chrono::seconds(60));
    if (failure) {
        std::rethrow_exception(failure);
    }
    cr_assert(isDone, "the task did not finish within 60 s");
}

CompletionRequest ServingFixture::completion(std::string prompt, std::uint32_t maxTokens) const
{
    CompletionRequest request;
    request.id = RequestId(randomToken());
    request.caller = { OrganisationId("a"), sha256(callerKey) };
    request.service = ServiceId("fitter");
    request.prompt = std::move(prompt);
    request.maxTokens = maxTokens;
    request.deadline = SystemClock().now() + options.requestDeadline;
    return request;
}

PlainRequest ServingFixture::booking(std::string idempotencyKey, std::string body) const
{
    PlainRequest request;
    request.id = RequestId(randomToken());
    request.caller = { OrganisationId("a"), sha256(callerKey) };
    request.service = ServiceId("booking");
    request.kind = CallKind::NonIdempotent;
    request.method = "POST";
    request.target = "/bookings";
    request.contentType = "application/json";
    request.idempotencyKey = std::move(idempotencyKey);
    request.body = std::move(body);
    request.deadline = SystemClock().now() + options.requestDeadline;
    return request;
}

PlainRequest ServingFixture::lookup() const
{
    auto request = booking("", "");
    request.kind = CallKind::Idempotent;
    request.method = "GET";
    request.target = "/hours";
    return request;
}

std::string expectedText(std::string_view prompt, std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t index = 0; index < tokens; ++index) {
        text += EngineStandIn::tokenText(prompt, version, index);
    }
    return text;
}

} // namespace Pollenwind
