#include "Transport/ServerFixture.h"

#include <list>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

// What clients may make the server hold together, as for a process without a limit of its own.
constexpr std::size_t memoryTotal = 24UL * 1024 * 1024;

constexpr std::size_t announcedBytes = 4'190'000;
constexpr std::size_t sentBytes = 4'000'000;
constexpr std::size_t pieceBytes = 32'000;

HttpServerLimits longLimits()
{
    HttpServerLimits limits;
    limits.headerTimeout = limits.bodyTimeout = limits.idleTimeout = 600s;
    return limits;
}

/// A client that sends a part of a large body and no more.
struct UnfinishedClient {
    explicit UnfinishedClient(const Endpoint& server)
        : client(server)
    {
        const auto request = requestOf("/large", announcedBytes);
        client.send(std::string_view(request).substr(0, request.size() - announcedBytes));
    }

    RawClient client;
    std::size_t sent = 0;
    bool isRefused = false;
};

} // namespace

// Many clients may each send a large part of a body that is allowed. The server kept all of them, 400 MB here, which
// ended the process and the requests of others. The largest must be refused with a response that says so, and ordinary
// requests must be served beside them.
Test(HttpServer, holdsABoundedSumOfUnfinishedRequests)
{
    ServerFixture fixture(longLimits());
    std::list<UnfinishedClient> clients;
    for (unsigned n = 0; n < 100; ++n) {
        clients.emplace_back(fixture.endpoint);
        fixture.poll();
    }
    const std::string piece(pieceBytes, 'b');
    for (std::size_t sent = 0; sent < sentBytes; sent += pieceBytes) {
        for (auto& it : clients) {
            if (!it.isRefused) {
                it.client.send(piece);
                it.sent += pieceBytes;
                fixture.poll();
                it.isRefused = !it.client.receive() || !it.client.received().empty();
            }
        }
        if (sent % (sentBytes / 10) == 0) {
            RawClient ordinary(fixture.endpoint);
            ordinary.send(requestOf("/ordinary", 4000));
            cr_assert_eq(fixture.responseStatus(ordinary), 200, "after %zu bytes of each", sent);
        }
    }
    std::size_t held = 0;
    unsigned refused = 0;
    for (auto& it : clients) {
        held += it.isRefused ? 0 : it.sent;
        refused += it.isRefused;
        cr_assert(
            !it.isRefused || it.client.received().starts_with("HTTP/1.1 503 "), "%s", it.client.received().c_str());
    }
    cr_assert_leq(held, memoryTotal, "%u of 100 requests were refused", refused);
    cr_assert(refused < 100, "no request was held");
}

// Guards against a connection that is closed with unread bytes after a refusal: the reset discarded the response in
// the socket of a client that was still sending.
Test(HttpServer, letsAClientReadItsRefusalWhileItSends)
{
    auto limits = longLimits();
    limits.bodyBytes = 100'000;
    ServerFixture fixture(limits);
    RawClient client(fixture.endpoint);
    client.send(requestOf("/large", 1'000'000).substr(0, 200));
    fixture.runUntil([&] { return fixture.handler.events.empty() && fixture.server.connectionCount() == 1; });
    for (unsigned n = 0; n < 10; ++n) {
        client.send(std::string(8000, 'b'));
        for (unsigned i = 0; i < 20; ++i) {
            fixture.poll();
        }
    }
    bool isOpen = true;
    fixture.runUntil([&] { return !(isOpen = client.receive()) || client.received().contains("\r\n\r\n"); });
    cr_assert(client.received().starts_with("HTTP/1.1 413 "), "%s", client.received().c_str());
}
