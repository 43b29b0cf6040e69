#include "Transport/ServerFixture.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// Serves each request with a stream that ends when the test says so.
class StreamHandler final : public HttpHandler {
public:
    Task<> handle(HttpExchange& exchange) override
    {
        ++requests;
        co_await exchange.beginStream({ 200, "", "", {} });
        while (isHeld) {
            co_await sleepFor(1ms);
        }
        co_await exchange.endStream();
    }
    HttpAnswer refusal(int status, std::string_view) const override { return { status, "", "", {} }; }

    bool isHeld = true;
    unsigned requests = 0;
};

// Idle time that the responses of these tests promise, with the limit that it follows from. The limit is that of the
// server's stop too.
constexpr std::chrono::seconds promisedTime { 1 };
constexpr std::chrono::milliseconds promisingLimit { 1700 };

HttpServerLimits promisingLimits()
{
    HttpServerLimits limits;
    limits.idleTimeout = 60s;
    limits.maxPromisedIdleTime = promisingLimit;
    return limits;
}

/// Lets almost all of the promised time pass while the server runs.
void waitAlmostAsPromised(ServerFixture& fixture, RawClient& client)
{
    const auto until = std::chrono::steady_clock::now() + promisedTime - 100ms;
    fixture.runUntil([&] { return std::chrono::steady_clock::now() >= until; });
    cr_assert(client.receive(), "the server closed the connection before the time that it had promised");
}

} // namespace

// Guards against a client that can only guess for how long it may reuse a connection: its request crossed the close of
// the idle connection, at a stop or after a change of the limit, and got no answer.
Test(HttpServer, keepsAnIdleConnectionAtAStopForThePromisedTime)
{
    ServerFixture fixture(promisingLimits());
    RawClient client(fixture.endpoint);
    client.send(requestOf("/first"));
    cr_assert_eq(fixture.responseStatus(client), 200);
    cr_assert(client.received().contains("Keep-Alive: timeout=1\r\n"), "%s", client.received().c_str());
    client.clear();
    fixture.poll();
    fixture.server.stopAccepting();
    waitAlmostAsPromised(fixture, client);
    client.send(requestOf("/second"));
    cr_assert_eq(fixture.responseStatus(client), 200);
    cr_assert(client.received().contains("Connection: close"));
    cr_assert(!client.received().contains("Keep-Alive"));
    fixture.runUntil([&] { return fixture.server.connectionCount() == 0; });
    cr_assert(fixture.handler.ends.empty());
}

// The same for a limit that became shorter while a response was sent that lasted longer than old limits are kept.
Test(HttpServer, keepsAnIdleConnectionAfterALongStreamForThePromisedTime)
{
    constexpr std::chrono::seconds streamTime { 11 };
    auto limits = promisingLimits();
    asio::io_context context { 1 };
    StreamHandler handler;
    HttpServer server(context.get_executor(), handler, limits);
    RawClient client(*server.listen({ "127.0.0.1", 0 }));
    const auto runFor = [&](std::chrono::milliseconds time) {
        context.restart();
        context.run_for(time);
    };
    client.send(requestOf("/first"));
    runFor(100ms);
    cr_assert(client.receive() && client.received().contains("Keep-Alive: timeout=1\r\n"));
    limits.idleTimeout = 1ms;
    server.setLimits(limits);
    runFor(streamTime);
    handler.isHeld = false;
    runFor(promisedTime - 100ms);
    cr_assert(client.receive(), "the server closed the connection before the time that it had promised");
    client.clear();
    client.send(requestOf("/second"));
    runFor(100ms);
    client.receive();
    cr_assert(client.received().contains("200 OK"));
}

// Guards against a stop that waits for promises which have run out, and against promises beyond the idle limit.
Test(HttpServer, promisesNoMoreThanItsLimits)
{
    auto limits = promisingLimits();
    ServerFixture fixture(limits);
    RawClient client(fixture.endpoint);
    fixture.exchange(client, "/first");
    const auto until = std::chrono::steady_clock::now() + promisingLimit;
    fixture.runUntil([&] { return std::chrono::steady_clock::now() >= until; });
    cr_assert(client.receive(), "closed before the idle limit");
    fixture.server.stopAccepting();
    fixture.poll();
    cr_assert(!client.receive(), "the promise had run out before the stop");
    for (const auto& [idle, stop] : { std::pair { 1500ms, 60'000ms }, { 60'000ms, 1500ms }, { 60'000ms, 0ms } }) {
        limits.idleTimeout = idle;
        limits.maxPromisedIdleTime = stop;
        ServerFixture strict(limits);
        RawClient other(strict.endpoint);
        other.send(requestOf("/first"));
        cr_assert_eq(strict.responseStatus(other), 200);
        cr_assert(!other.received().contains("Keep-Alive"), "%s", other.received().c_str());
    }
}

// Guards against closing a connection at a stop right after a stream whose head had not announced the close: its client
// sends the next request at once, which would cross the close and get no answer.
Test(HttpServer, servesARequestThatFollowsAStreamFromBeforeAStop)
{
    asio::io_context context { 1 };
    StreamHandler handler;
    HttpServer server(context.get_executor(), handler, {});
    const auto endpoint = *server.listen({ "127.0.0.1", 0 });
    RawClient client(endpoint);
    const auto runUntil = [&](auto condition) {
        const auto limit = std::chrono::steady_clock::now() + ServerFixture::conditionTimeout;
        while (!condition()) {
            cr_assert(std::chrono::steady_clock::now() < limit, "the condition did not hold in time");
            context.restart();
            context.run_one_for(10ms);
        }
    };
    client.send(requestOf("/first"));
    runUntil([&] { return client.receive() && client.received().contains("\r\n\r\n"); });
    cr_assert(!client.received().contains("Connection: close"));
    server.stopAccepting();
    handler.isHeld = false;
    runUntil([&] { return !client.receive() || client.received().ends_with("0\r\n\r\n"); });
    client.clear();
    context.restart();
    context.poll();
    client.send(requestOf("/second"));
    runUntil([&] { return !client.receive() || client.received().ends_with("0\r\n\r\n"); });
    cr_assert(client.received().contains("200 OK"));
    cr_assert(client.received().contains("Connection: close"));
    runUntil([&] { return server.connectionCount() == 0; });
}
