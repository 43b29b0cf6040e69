#include "Transport/ServerFixture.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

// Guards against a request whose connection ends without a response and of which no record tells how far it got and
// which end closed it.
Test(ConnectionEnd, tellsWhichRequestTheClientCutOff)
{
    ServerFixture fixture;
    const std::string part = "POST /part HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123";
    {
        RawClient client(fixture.endpoint);
        fixture.exchange(client, "/whole");
        client.send(part);
        fixture.poll();
    }
    fixture.runUntil([&] { return fixture.server.connectionCount() == 0; });
    cr_assert_eq(fixture.handler.ends.size(), 1);
    const auto& end = fixture.handler.ends.front();
    cr_assert(end.event == ConnectionEvent::RequestCutOff);
    cr_assert_eq(fixture.handler.endPaths.front(), "/part");
    cr_assert_eq(end.trace.bytes(), part.size());
    cr_assert(end.isClosedByClient);
    cr_assert(!end.isStopping);
}

// The same for a request whose handler ends without a response, while the server stops.
Test(ConnectionEnd, tellsWhichRequestTheServerLeftUnanswered)
{
    ServerFixture fixture;
    fixture.handler.leavesUnanswered = true;
    RawClient client(fixture.endpoint);
    client.send(requestOf("/unanswered"));
    fixture.server.announceClose();
    fixture.runUntil([&] { return !client.receive(); });
    cr_assert_eq(fixture.handler.ends.size(), 1);
    const auto& end = fixture.handler.ends.front();
    cr_assert(end.event == ConnectionEvent::Unanswered);
    cr_assert_eq(fixture.handler.endPaths.front(), "/unanswered");
    cr_assert_eq(end.trace.bytes(), requestOf("/unanswered").size());
    cr_assert(!end.isClosedByClient);
    cr_assert(end.isStopping);
}

// Guards against lines about connections on which no request was lost.
Test(ConnectionEnd, reportsNoEndBetweenTwoRequests)
{
    HttpServerLimits limits;
    limits.idleTimeout = 100ms;
    ServerFixture fixture(limits);
    {
        RawClient leaving(fixture.endpoint);
        fixture.exchange(leaving, "/first");
        RawClient idle(fixture.endpoint);
        fixture.exchange(idle, "/second");
        fixture.runUntil([&] { return !idle.receive(); });
    }
    fixture.runUntil([&] { return fixture.server.connectionCount() == 0; });
    cr_assert(fixture.handler.ends.empty());
}

// Guards against a caller that sees its request cut without an answer while no record tells that it crossed the close
// of an idle connection, at a stop or at the idle limit. The request is not even looked at, so its caller may send it
// again.
Test(ConnectionEnd, tellsWhichRequestCrossedTheClose)
{
    for (const bool isStop : { true, false }) {
        HttpServerLimits limits;
        limits.idleTimeout = isStop ? 60s : 100ms;
        ServerFixture fixture(limits);
        RawClient client(fixture.endpoint);
        fixture.exchange(client, "/first");
        if (isStop) {
            fixture.server.stopAccepting();
        }
        fixture.runUntil([&] { return !client.receive(); });
        client.send(requestOf("/crossing"));
        fixture.runUntil([&] { return fixture.server.connectionCount() == 0; });
        cr_assert_eq(fixture.handler.requests, 1);
        cr_assert_eq(fixture.handler.ends.size(), 1);
        cr_assert(fixture.handler.ends.front().event == ConnectionEvent::CrossedClose);
        cr_assert_eq(fixture.handler.endPaths.front(), "");
        const auto& end = fixture.handler.ends.front();
        cr_assert_eq(end.trace.bytes(), requestOf("/crossing").size());
        cr_assert(isStop || (end.wait.limit == limits.idleTimeout && end.wait.time >= limits.idleTimeout));
        cr_assert(client.isReset());
    }
}
