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

} // namespace

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
