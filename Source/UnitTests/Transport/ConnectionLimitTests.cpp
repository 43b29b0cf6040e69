#include "Transport/ServerFixture.h"

#include <memory>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

HttpServerLimits limitOf(std::size_t connections)
{
    HttpServerLimits limits;
    limits.connections = connections;
    return limits;
}

} // namespace

// Guards against closing a connection beyond the limit without a word, whatever request it carries.
Test(HttpServer, refusesARequestBeyondTheLimitOfConnections)
{
    ServerFixture fixture(limitOf(2));
    RawClient first(fixture.endpoint);
    RawClient second(fixture.endpoint);
    fixture.exchange(first, "/first");
    fixture.exchange(second, "/second");
    RawClient third(fixture.endpoint);
    third.send(requestOf("/third"));
    cr_assert_eq(fixture.responseStatus(third), 503);
    cr_assert_eq(fixture.handler.events[ConnectionEvent::Rejected], 1);
    // Those within the limit are served.
    fixture.exchange(first, "/again");
    fixture.exchange(second, "/again");
    cr_assert_eq(fixture.handler.requests, 4);
}

// Guards against refusing a request for the sake of a connection that its client no longer relies on, and against
// closing one whose promise has not ended.
Test(HttpServer, closesTheLongestIdleConnectionWhosePromiseHasEnded)
{
    auto limits = limitOf(2);
    limits.idleTimeout = 60s;
    limits.maxPromisedIdleTime = 1700ms;
    ServerFixture fixture(limits);
    RawClient first(fixture.endpoint);
    fixture.exchange(first, "/first");
    const auto promiseEnd = std::chrono::steady_clock::now() + 1700ms;
    RawClient second(fixture.endpoint);
    fixture.exchange(second, "/second");
    RawClient early(fixture.endpoint);
    early.send(requestOf("/early"));
    cr_assert_eq(fixture.responseStatus(early), 503);
    cr_assert(first.receive() && second.receive(), "closed before the end of the promise");
    fixture.runUntil([&] { return std::chrono::steady_clock::now() >= promiseEnd; });
    fixture.exchange(second, "/again");
    RawClient late(fixture.endpoint);
    late.send(requestOf("/late"));
    cr_assert_eq(fixture.responseStatus(late), 200);
    fixture.runUntil([&] { return !first.receive(); });
    cr_assert(second.receive(), "a connection with a promise was closed");
}

// Guards against refused connections that take all descriptors: beyond a small bound they wait in the listen queue and
// are served when others have ended.
Test(HttpServer, leavesConnectionsInTheQueueBeyondABound)
{
    constexpr std::size_t most = 2 + 32;
    ServerFixture fixture(limitOf(2));
    auto first = std::make_unique<RawClient>(fixture.endpoint);
    auto second = std::make_unique<RawClient>(fixture.endpoint);
    fixture.exchange(*first, "/first");
    fixture.exchange(*second, "/second");
    std::vector<std::unique_ptr<RawClient>> silent;
    while (silent.size() < 60) {
        silent.push_back(std::make_unique<RawClient>(fixture.endpoint));
    }
    RawClient waiting(fixture.endpoint);
    waiting.send(requestOf("/waiting"));
    fixture.runUntil([&] { return fixture.server.connectionCount() >= most; });
    fixture.poll();
    cr_assert_eq(fixture.server.connectionCount(), most);
    first.reset();
    second.reset();
    silent.clear();
    cr_assert_eq(fixture.responseStatus(waiting), 200);
}
