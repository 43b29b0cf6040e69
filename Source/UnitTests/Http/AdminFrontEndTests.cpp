#include "Http/AdminFrontEnd.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

using namespace Pollenwind;

namespace {

class FakeExchange final : public HttpExchange {
public:
    explicit FakeExchange(HttpRequest request)
        : m_request(std::move(request))
    {
    }

    const HttpRequest& request() const override { return m_request; }
    std::string remoteAddress() const override { return "127.0.0.1"; }
    Task<Outcome<void>> answer(const HttpAnswer& answer) override
    {
        status = answer.status;
        co_return Outcome<void> {};
    }
    Task<Outcome<void>> beginStream(const HttpAnswer&) override { co_return Outcome<void> {}; }
    Task<Outcome<void>> writeChunk(std::string_view) override { co_return Outcome<void> {}; }
    Task<Outcome<void>> endStream() override { co_return Outcome<void> {}; }
    bool isDisconnected() override { return false; }
    void onDisconnect(std::function<void()>) override { }
    void abort() override { }

    int status = 0;

private:
    HttpRequest m_request;
};

class CountingCall final : public AdminQuery, public AdminCommand {
public:
    Task<Outcome<std::string>> run(const HttpRequest&) override
    {
        ++runs;
        co_return "{}";
    }
    int runs = 0;
};

int statusOf(AdminFrontEnd& frontEnd, HttpRequest request)
{
    asio::io_context context(1);
    FakeExchange exchange(std::move(request));
    asio::co_spawn(context, frontEnd.handle(exchange), asio::detached);
    context.run();
    return exchange.status;
}

} // namespace

// Guards against an administration call that runs for a caller without the token.
Test(AdminFrontEnd, runsNothingWithoutTheToken)
{
    AdminFrontEnd frontEnd("0123456789abcdef");
    CountingCall call;
    frontEnd.addQuery("status", call);
    frontEnd.addCommand("apply", call);
    const std::vector<HttpHeaders> unauthenticated { {}, { { "Authorization", "" } },
        { { "Authorization", "Bearer " } }, { { "Authorization", "Bearer 0123456789abcde" } },
        { { "Authorization", "Bearer 0123456789abcdef " } }, { { "Authorization", "Basic 0123456789abcdef" } },
        { { "X-Api-Key", "0123456789abcdef" } },
        { { "Authorization", "Bearer x" }, { "Authorization", "Bearer 0123456789abcdef" } } };
    for (const auto& headers : unauthenticated) {
        cr_expect_eq(statusOf(frontEnd, { "GET", "/admin/queries/status", "", headers, "" }), 401);
        cr_expect_eq(statusOf(frontEnd, { "POST", "/admin/commands/apply", "", headers, "" }), 401);
        cr_expect_eq(
            statusOf(frontEnd, { "GET", "/admin/queries/status", "token=0123456789abcdef", headers, "" }), 401);
        // An unknown endpoint gets the same status, so that the response reveals nothing about the endpoints.
        cr_expect_eq(statusOf(frontEnd, { "GET", "/admin/queries/other", "", headers, "" }), 401);
    }
    cr_assert_eq(call.runs, 0);
    const HttpHeaders good { { "Authorization", "Bearer 0123456789abcdef" } };
    cr_assert_eq(statusOf(frontEnd, { "GET", "/admin/queries/status", "", good, "" }), 200);
    cr_assert_eq(statusOf(frontEnd, { "GET", "/admin/commands/apply", "", good, "" }), 404);
    cr_assert_eq(call.runs, 1);
}
