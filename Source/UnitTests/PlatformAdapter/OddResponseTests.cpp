#include "Common/JsonFields.h"
#include "Metrics/MetricTable.h"
#include "Transport/HttpServer.h"
#include "platform/KvStoreClient.h"
#include "platform/RunnerControl.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

constexpr unsigned maxCalls = 50;

/// A server that sends a given body to every request, and fails a test whose client does not stop to call it.
struct ScriptedServer final : HttpHandler {
    explicit ScriptedServer(const asio::any_io_executor& executor)
        : server(executor, *this, {})
    {
        endpoint = server.listen({ "127.0.0.1", 0 }).value_or(Endpoint());
    }

    Task<> handle(HttpExchange& exchange) override
    {
        cr_assert(++calls <= maxCalls, "the client repeats its call without end");
        co_await exchange.answer({ status, "application/json", body, {} });
    }
    HttpAnswer refusal(int refused, std::string_view) const override { return { refused, "", "", {} }; }

    HttpServer server;
    Endpoint endpoint;
    int status = 200;
    std::string body;
    unsigned calls = 0;
};

struct ResponseFixture {
    template <typename Scenario> void run(Scenario scenario)
    {
        asio::co_spawn(
            context,
            [&]() -> Task<> {
                co_await scenario();
                context.stop();
            },
            [](const std::exception_ptr& error) { cr_assert(!error, "an exception left the client"); });
        context.run();
    }

    asio::io_context context { 1 };
    MetricTable metrics;
    ScriptedServer server { context.get_executor() };
    KvStoreClient store { context.get_executor(), server.endpoint, {}, metrics };
    RunnerControl control;
};

std::string nested(std::size_t levels, const std::string& open, const std::string& close)
{
    std::string text;
    for (std::size_t i = 0; i < levels; ++i) {
        text += open;
    }
    text += "1";
    for (std::size_t i = 0; i < levels; ++i) {
        text += close;
    }
    return text;
}

const std::vector<std::string> notRevisions { "0", "-1", "1.5", "1e300", "99999999999999999999", "18446744073709551615",
    "\"x\"", "\"80a\"", "null", "[]" };

} // namespace

// Guards against losing the records of a list of which one item cannot be read.
Test(KvStoreClient, keepsTheOtherItemsOfAListWithAnOddOne)
{
    const std::string good = R"({"key":"servers/a","value":"YQ==","revision":5,"lease":0})";
    ResponseFixture fixture;
    fixture.run([&]() -> Task<> {
        for (const auto& odd : { std::string("7"), std::string("null"), std::string("[]"), std::string("{}"),
                 std::string(R"({"key":7,"value":"YQ=="})"), std::string(R"({"key":"","value":"YQ=="})"),
                 std::string(R"({"key":"z","value":"!","revision":"x","lease":1e300})"),
                 std::string(R"({"key":"z","value":7,"revision":-1,"lease":99999999999999999999})"),
                 nested(100'000, "[", "]"), R"({"key":"z","value":)" + nested(100'000, "{\"a\":", "}") + "}" }) {
            fixture.server.calls = 0;
            fixture.server.body = R"({"items":[)";
            fixture.server.body.append(odd).append(",").append(good).append(",").append(odd);
            fixture.server.body.append(R"(],"current_rev":9})");
            const auto range = co_await fixture.store.readPrefix("");
            cr_assert(range && range->revision == 9, "%s", odd.substr(0, 60).c_str());
            cr_assert(std::ranges::any_of(range->entries,
                [](const auto& it) { return it.key == "servers/a" && it.value == "a" && it.modRevision == 5; }));
            cr_assert(std::ranges::none_of(range->entries, [](const auto& it) { return it.key.empty(); }),
                "an item without a key became a record: %s", odd.substr(0, 60).c_str());
        }
    });
}

// Guards against reading the first page again and again when the last item of a page has no key or an earlier one.
Test(KvStoreClient, endsAListWhosePagesDoNotAdvance)
{
    ResponseFixture fixture;
    fixture.run([&]() -> Task<> {
        for (const auto* items : { "{}", "7", R"({"key":"a"},{})", R"({"key":"a"})", R"({"key":"b"},{"key":"a"})" }) {
            fixture.server.calls = 0;
            fixture.server.body = std::string(R"({"items":[)") + items + R"(],"more_pages":true,"current_rev":9})";
            cr_assert(!co_await fixture.store.readPrefix(""), "%s", items);
        }
    });
}

// Guards against a list or changes without a readable revision: changes were then missed or repeated without end, and
// a revision beyond the store's made the gateway ignore every later change.
Test(KvStoreClient, rejectsAListWithoutARevision)
{
    ResponseFixture fixture;
    fixture.run([&]() -> Task<> {
        for (const auto& revision : notRevisions) {
            fixture.server.calls = 0;
            fixture.server.body = R"({"items":[],"events":[],"current_rev":)" + revision + "}";
            cr_assert(!co_await fixture.store.readPrefix(""), "list: %s", revision.c_str());
            const auto watch = co_await fixture.store.openWatch("", 5);
            cr_assert(!co_await fixture.store.nextEventsWithin(*watch, 10ms), "changes: %s", revision.c_str());
        }
        fixture.server.body = R"({"items":[],"events":[]})";
        cr_assert(!co_await fixture.store.readPrefix(""));
        fixture.server.body = R"({"current_rev":9})";
        const auto watch = co_await fixture.store.openWatch("", 5);
        cr_assert(!co_await fixture.store.nextEventsWithin(*watch, 10ms), "a response without changes was accepted");
        fixture.server.body = R"({"items":[],"events":[],"current_rev":9})";
        cr_assert(co_await fixture.store.readPrefix(""));
        cr_assert(co_await fixture.store.nextEventsWithin(*watch, 10ms));
    });
}

// Guards against changes that are lost: the revision went on behind an event that could not be read, so that what it
// told, such as the withdrawal of a key, was never read. All records are read again instead.
Test(KvStoreClient, endsAWatchWithAnEventThatCannotBeRead)
{
    ResponseFixture fixture;
    fixture.run([&]() -> Task<> {
        const auto follow = [&](const std::string& event) -> Task<Outcome<StoreEvents>> {
            fixture.server.calls = 0;
            fixture.server.body
                = R"({"events":[{"key":"a","value":"YQ==","revision":6,"lease":0},)" + event + R"(],"current_rev":9})";
            const auto watch = co_await fixture.store.openWatch("", 5);
            co_return co_await fixture.store.nextEventsWithin(*watch, 10ms);
        };
        cr_assert_eq((co_await follow(R"({"key":"b","revision":7,"removed":true})"))->events.size(), 2);
        cr_assert_eq((co_await follow(R"({"key":"b","value":"!","revision":7})"))->events.size(), 2);
        for (const auto* event : { "7", "null", "{}", R"({"revision":7,"value":"YQ=="})", R"({"key":"","revision":7})",
                 R"({"key":7,"revision":7})", R"({"key":"b","revision":7,"removed":"true"})",
                 R"({"key":"b","revision":7,"removed":1})", R"({"key":"b","removed":true})",
                 R"({"key":"b","revision":"x","removed":true})", R"({"key":"b","revision":0})" }) {
            const auto changes = co_await follow(event);
            cr_assert(!changes && changes.error().code == ErrorCode::Conflict, "%s", event);
        }
    });
}

// Guards against a list that ends after its first page because the field for further ones cannot be read: all runners
// of the later pages counted as gone.
Test(KvStoreClient, rejectsAPageThatDoesNotTellWhetherMoreFollow)
{
    ResponseFixture fixture;
    fixture.run([&]() -> Task<> {
        for (const auto* more : { "\"true\"", "1", "null", "[]" }) {
            fixture.server.calls = 0;
            fixture.server.body = std::string(R"({"items":[{"key":"a"}],"current_rev":9,"more_pages":)") + more + "}";
            cr_assert(!co_await fixture.store.readPrefix(""), "%s", more);
        }
    });
}

// Guards against records that never expire because the response named no lease, and against a write whose revision is
// unknown.
Test(KvStoreClient, rejectsALeaseOrAWriteWithoutANumber)
{
    ResponseFixture fixture;
    fixture.run([&]() -> Task<> {
        for (const auto& number : notRevisions) {
            fixture.server.calls = 0;
            fixture.server.body = R"({"lease":)";
            fixture.server.body.append(number).append(R"(,"ttl_ms":1000,"revision":)").append(number).append("}");
            cr_assert(!co_await fixture.store.grantLease(1s), "lease: %s", number.c_str());
            const auto swapped = co_await fixture.store.compareAndSwap("k", 0, "v", LeaseId());
            cr_assert(!swapped && swapped.error().runState == RunState::Unknown, "write: %s", number.c_str());
        }
        fixture.server.status = 412;
        fixture.server.body = R"({"items":[{"revision":3,"value":"YQ=="}]})";
        const auto swapped = co_await fixture.store.compareAndSwap("k", 0, "v", LeaseId());
        cr_assert(!swapped || (!swapped->isSwapped && !swapped->found), "a record without a key was found");
    });
}

// Guards against taking an odd report for one of an idle runner without weights that has just restarted.
Test(RunnerControl, rejectsAnOddReport)
{
    ResponseFixture fixture;
    fixture.run([&]() -> Task<> {
        const auto read = [&](std::string body) -> Task<bool> {
            fixture.server.calls = 0;
            fixture.server.body = std::move(body);
            co_return (co_await fixture.control.report(fixture.server.endpoint, 2s)).has_value();
        };
        const std::string models = R"("models":[{"name":"m","version":3}])";
        cr_assert(co_await read(R"({"busy":false,"seq":4,"born":1796380000123,)" + models + "}"));
        cr_assert(co_await read(R"({"busy":true,"seq":0})"));
        for (const auto& number :
            { "-1", "1.5", "1e300", "99999999999999999999", "18446744073709551615", "\"x\"", "null", "[]", "true" }) {
            const std::string text = number;
            std::string odd = R"({"busy":false,"seq":)";
            odd.append(text).append(",").append(models).append("}");
            cr_assert(!co_await read(odd), "seq: %s", number);
            cr_assert(!co_await read(R"({"busy":false,"seq":1,"born":)" + text + "}"), "born: %s", number);
            cr_assert(!co_await read(R"({"busy":false,"seq":1,"models":[{"name":"m","version":)" + text + "}]}"),
                "version: %s", number);
        }
        for (const auto& body : { std::string("{}"), std::string(R"({"seq":1})"), std::string(R"({"busy":false})"),
                 std::string(R"({"busy":"no","seq":1})"), std::string(R"({"busy":false,"seq":1,"models":{}})"),
                 std::string(R"({"busy":false,"seq":1,"models":[7]})"),
                 std::string(R"({"busy":false,"seq":1,"models":[{"version":1}]})"), nested(100'000, "[", "]"),
                 R"({"busy":false,"seq":1,"models":)" + nested(100'000, "[", "]") + "}" }) {
            cr_assert(!co_await read(body), "%s", body.substr(0, 60).c_str());
        }
    });
}
