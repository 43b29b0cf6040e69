#include "Transport/ServerFixture.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds longLimit { 600'000 };

HttpServerLimits longLimits()
{
    HttpServerLimits limits;
    limits.headerTimeout = limits.bodyTimeout = limits.idleTimeout = longLimit;
    return limits;
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
