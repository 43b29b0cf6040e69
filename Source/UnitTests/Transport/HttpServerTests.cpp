#include "Transport/ServerFixture.h"

#include <boost/asio/steady_timer.hpp>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

// Limit under test. All others are longer than a test.
constexpr std::chrono::milliseconds shortLimit { 100 };
constexpr std::chrono::milliseconds longLimit { 600'000 };

HttpServerLimits longLimits()
{
    HttpServerLimits limits;
    limits.headerTimeout = limits.bodyTimeout = limits.idleTimeout = longLimit;
    return limits;
}

/// Lets a time limit pass that the server waits for, and sends bytes after that and before the server reacts to it, as
/// when the process was held up meanwhile.
/// @return False if the server had reacted to the limit already, since the test itself was held up.
bool sendAfterLimit(ServerFixture& fixture, RawClient& client, std::string_view bytes)
{
    bool isSent = false;
    // Expires before the limit, so its handler runs first when both have expired.
    asio::steady_timer timer(fixture.context, std::chrono::steady_clock::now());
    timer.async_wait([&](const boost::system::error_code&) {
        isSent = client.receive();
        if (isSent) {
            client.send(bytes);
        }
    });
    std::this_thread::sleep_for(2 * shortLimit);
    fixture.poll();
    return isSent;
}

} // namespace

// Guards against connections that end without a trace in the counters.
Test(HttpServer, reportsRequestsThatEndWithTheirConnection)
{
    ServerFixture fixture(longLimits());
    {
        RawClient client(fixture.endpoint);
        fixture.exchange(client, "/whole");
        client.send("POST /part HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123");
        fixture.poll();
    }
    fixture.runUntil([&] { return fixture.server.connectionCount() == 0; });
    const std::map<ConnectionEvent, unsigned> expected { { ConnectionEvent::RequestCutOff, 1 } };
    cr_assert(fixture.handler.events == expected);
}

// Guards against closing a connection without an answer to a request that arrived before the server reacted to the end
// of the idle limit.
Test(HttpServer, servesARequestThatArrivedBeforeTheIdleLimitTookEffect)
{
    auto limits = longLimits();
    limits.idleTimeout = shortLimit;
    for (bool isSent = false; !isSent;) {
        ServerFixture fixture(limits);
        RawClient client(fixture.endpoint);
        fixture.exchange(client, "/first");
        isSent = sendAfterLimit(fixture, client, requestOf("/second"));
        cr_assert(!isSent || fixture.responseStatus(client) == 200);
    }
}

// The same for the first request of a connection and its header limit.
Test(HttpServer, servesAFirstRequestThatArrivedBeforeTheHeaderLimitTookEffect)
{
    auto limits = longLimits();
    limits.headerTimeout = shortLimit;
    for (bool isSent = false; !isSent;) {
        ServerFixture fixture(limits);
        RawClient client(fixture.endpoint);
        fixture.runUntil([&] { return fixture.server.connectionCount() == 1; });
        isSent = sendAfterLimit(fixture, client, requestOf("/first"));
        cr_assert(!isSent || fixture.responseStatus(client) == 200);
    }
}

// The same for the rest of a request's body and the body limit.
Test(HttpServer, servesARequestWhoseBodyArrivedBeforeTheBodyLimitTookEffect)
{
    auto limits = longLimits();
    limits.bodyTimeout = shortLimit;
    for (bool isSent = false; !isSent;) {
        ServerFixture fixture(limits);
        RawClient client(fixture.endpoint);
        const auto request = requestOf("/first", 1000);
        client.send(std::string_view(request).substr(0, request.size() - 500));
        fixture.runUntil([&] { return fixture.server.connectionCount() == 1; });
        fixture.poll();
        isSent = sendAfterLimit(fixture, client, std::string_view(request).substr(request.size() - 500));
        cr_assert(!isSent || fixture.responseStatus(client) == 200);
    }
}

// Guards against closing a kept connection at a stop with a request in its socket.
Test(HttpServer, servesARequestThatHadArrivedWhenItStopped)
{
    ServerFixture fixture(longLimits());
    RawClient client(fixture.endpoint);
    fixture.exchange(client, "/first");
    client.send(requestOf("/second"));
    fixture.server.stopAccepting();
    cr_assert_eq(fixture.responseStatus(client), 200);
    cr_assert(client.received().contains("Connection: close"));
}

// Guards against cancelling a request at a stop of which a part has been read.
Test(HttpServer, servesARequestThatWasArrivingWhenItStopped)
{
    ServerFixture fixture(longLimits());
    RawClient client(fixture.endpoint);
    fixture.exchange(client, "/first");
    const auto request = requestOf("/second");
    client.send(std::string_view(request).substr(0, 10));
    fixture.poll();
    fixture.server.stopAccepting();
    fixture.poll();
    client.send(std::string_view(request).substr(10));
    cr_assert_eq(fixture.responseStatus(client), 200);
}

// Guards against resetting connections at a stop that only the kernel has accepted.
Test(HttpServer, servesConnectionsOfTheListenQueueWhenItStops)
{
    ServerFixture fixture(longLimits());
    fixture.poll();
    RawClient first(fixture.endpoint);
    RawClient second(fixture.endpoint);
    first.send(requestOf("/first"));
    second.send(requestOf("/second"));
    fixture.server.stopAccepting();
    cr_assert_eq(fixture.responseStatus(first), 200);
    cr_assert_eq(fixture.responseStatus(second), 200);
}

// The same for a connection that was taken from the queue and not yet served.
Test(HttpServer, servesAConnectionThatItHadJustAcceptedWhenItStops)
{
    ServerFixture fixture(longLimits());
    RawClient first(fixture.endpoint);
    RawClient second(fixture.endpoint);
    first.send(requestOf("/first"));
    second.send(requestOf("/second"));
    while (fixture.server.connectionCount() == 0) {
        fixture.context.restart();
        fixture.context.poll_one();
    }
    fixture.server.stopAccepting();
    cr_assert_eq(fixture.responseStatus(first), 200);
    cr_assert_eq(fixture.responseStatus(second), 200);
}

// Guards against closing a new connection at a stop whose request is on its way.
Test(HttpServer, waitsForTheFirstRequestOfANewConnectionWhenItStops)
{
    ServerFixture fixture(longLimits());
    RawClient client(fixture.endpoint);
    fixture.runUntil([&] { return fixture.server.connectionCount() == 1; });
    fixture.poll();
    fixture.server.stopAccepting();
    fixture.poll();
    client.send(requestOf("/first"));
    cr_assert_eq(fixture.responseStatus(client), 200);
    cr_assert(client.received().contains("Connection: close"));
}

// Guards against a response that promises to keep a connection which a stop closes, together with a request that was
// sent in reliance on it.
Test(HttpServer, announcesTheCloseInResponsesThatBeginAfterAStop)
{
    ServerFixture fixture(longLimits());
    RawClient client(fixture.endpoint);
    fixture.handler.isHeld = true;
    client.send(requestOf("/first"));
    fixture.runUntil([&] { return fixture.handler.requests == 1; });
    fixture.server.stopAccepting();
    fixture.handler.isHeld = false;
    cr_assert_eq(fixture.responseStatus(client), 200);
    cr_assert(client.received().contains("Connection: close"));
}

// Guards against a stop that waits for connections without a request: until the idle limit for kept ones, until the
// header limit for new ones.
Test(HttpServer, stopsDespiteConnectionsWithoutARequest)
{
    ServerFixture fixture(longLimits());
    RawClient kept(fixture.endpoint);
    fixture.exchange(kept, "/first");
    RawClient silent(fixture.endpoint);
    fixture.runUntil([&] { return fixture.server.connectionCount() == 2; });
    fixture.server.stopAccepting();
    fixture.runUntil([&] { return fixture.server.connectionCount() <= 1; });
    cr_assert(!kept.receive());
    fixture.runUntil([&] { return fixture.server.connectionCount() == 0; });
    cr_assert(!silent.receive());
}

// Guards against judging a request by limits that were replaced while its connection was idle: it was rejected although
// the limits in force allowed it.
Test(HttpServer, judgesARequestByTheLimitsInForceWhenItArrives)
{
    auto limits = longLimits();
    limits.bodyBytes = 10;
    ServerFixture fixture(limits);
    RawClient client(fixture.endpoint);
    fixture.exchange(client, "/first");
    limits.bodyBytes = 1000;
    fixture.server.setLimits(limits);
    client.send(requestOf("/second", 500));
    cr_assert_eq(fixture.responseStatus(client), 200);
}

// The same for the size of the header.
Test(HttpServer, judgesAHeaderByTheLimitsInForceWhenItArrives)
{
    auto limits = longLimits();
    limits.headerBytes = 100;
    ServerFixture fixture(limits);
    RawClient client(fixture.endpoint);
    fixture.exchange(client, "/first");
    limits.headerBytes = 1000;
    fixture.server.setLimits(limits);
    client.send(requestOf("/" + std::string(200, 'x')));
    cr_assert_eq(fixture.responseStatus(client), 200);
}

// Guards against rejecting a request half way under limits that came into force while it was read.
Test(HttpServer, readsARequestToItsEndUnderTheLimitsOfItsStart)
{
    auto limits = longLimits();
    ServerFixture fixture(limits);
    RawClient client(fixture.endpoint);
    const auto request = requestOf("/first", 500);
    client.send(std::string_view(request).substr(0, request.size() - 200));
    fixture.runUntil([&] { return fixture.server.connectionCount() == 1; });
    fixture.poll();
    limits.bodyBytes = limits.headerBytes = 10;
    fixture.server.setLimits(limits);
    client.send(std::string_view(request).substr(request.size() - 200));
    cr_assert_eq(fixture.responseStatus(client), 200);
}

// Guards against closing connections under a limit of which their clients cannot know yet: they reuse connections up to
// the limit that they know.
Test(HttpServer, keepsIdleConnectionsForTheLimitThatTheirClientsKnow)
{
    auto limits = longLimits();
    ServerFixture fixture(limits);
    RawClient idle(fixture.endpoint);
    RawClient busy(fixture.endpoint);
    fixture.exchange(idle, "/first");
    limits.idleTimeout = 1ms;
    fixture.server.setLimits(limits);
    fixture.exchange(busy, "/first");
    std::this_thread::sleep_for(20ms);
    fixture.poll();
    for (auto* client : { &idle, &busy }) {
        client->send(requestOf("/second"));
        cr_assert_eq(fixture.responseStatus(*client), 200);
    }
}

// Guards against closing connections under the limit of before, when the limit in force is longer.
Test(HttpServer, extendsTheWaitOfIdleConnections)
{
    auto limits = longLimits();
    limits.idleTimeout = shortLimit;
    for (bool isOpen = false; !isOpen;) {
        ServerFixture fixture(limits);
        RawClient client(fixture.endpoint);
        fixture.exchange(client, "/first");
        fixture.server.setLimits(longLimits());
        // A test that was held up may have reached the limit already.
        isOpen = client.receive();
        std::this_thread::sleep_for(2 * shortLimit);
        fixture.poll();
        client.send(requestOf("/second"));
        cr_assert(!isOpen || fixture.responseStatus(client) == 200);
    }
}

// Guards against connections that stay open without a request.
Test(HttpServer, closesAConnectionAfterItsIdleLimit)
{
    auto limits = longLimits();
    limits.idleTimeout = shortLimit;
    ServerFixture fixture(limits);
    RawClient client(fixture.endpoint);
    fixture.exchange(client, "/first");
    fixture.runUntil([&] { return fixture.server.connectionCount() == 0; });
    cr_assert_eq(fixture.handler.events[ConnectionEvent::IdleClosed], 1);
}

// Guards against limits that are applied some time after they have come into force.
Test(HttpServer, takesTheLimitsFromTheirSourceWhenARequestArrives)
{
    struct Source final : HttpLimitSource {
        HttpServerLimits limits() const override { return current; }
        HttpServerLimits current = longLimits();
    } source;
    source.current.bodyBytes = 10;
    ServerFixture fixture(source.current);
    fixture.server.setLimitSource(source);
    RawClient client(fixture.endpoint);
    fixture.exchange(client, "/first");
    source.current.bodyBytes = 1000;
    client.send(requestOf("/second", 500));
    cr_assert_eq(fixture.responseStatus(client), 200);
}

// Guards against an exception in the task of a connection that left its request without a response and its connection
// open.
Test(HttpServer, answersARequestWhoseHandlerFails)
{
    ServerFixture fixture(longLimits());
    RawClient other(fixture.endpoint);
    fixture.exchange(other, "/first");
    RawClient client(fixture.endpoint);
    fixture.handler.fails = true;
    client.send(requestOf("/failing"));
    cr_assert_eq(fixture.responseStatus(client), 500);
    fixture.handler.fails = false;
    fixture.runUntil([&] { return !client.receive(); });
    fixture.exchange(other, "/second");
    cr_assert_eq(fixture.server.connectionCount(), 1);
}

// Guards against a request that cannot be sent on: its exception left it without a response.
Test(HttpServer, rejectsATraceRequestWithABody)
{
    ServerFixture fixture(longLimits());
    RawClient client(fixture.endpoint);
    client.send("TRACE /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb");
    cr_assert_eq(fixture.responseStatus(client), 400);
    cr_assert_eq(fixture.handler.requests, 0);
}
