#include "Pollenwindctl/Commands/Commands.h"
#include "Pollenwindctl/DeadlineForm.h"
#include "Pollenwindctl/KeyForm.h"
#include "Pollenwindctl/OperatorSettings.h"
#include "Pollenwindctl/Subcommand.h"
#include "Pollenwindctl/TimelinePage.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <sstream>

using namespace Pollenwind;
using namespace Pollenwind::Ctl;

namespace {

/// Simulated routers whose responses are computed by functions. Records the commands that they receive.
class FakeClient final : public AdminClient {
public:
    using Handler = std::function<Outcome<Json>(const Endpoint&, const Json&)>;

    Task<Outcome<Json>> get(Endpoint router, std::string query) override
    {
        const auto it = queries.find(query);
        if (it == queries.end()) {
            co_return fail(ErrorCode::NoRoute, "no administration call GET /admin/queries/" + query);
        }
        co_return it->second(router, {});
    }

    Task<Outcome<Json>> post(Endpoint router, std::string command, Json body) override
    {
        posted.emplace_back(router, body);
        const auto it = commands.find(command);
        if (it == commands.end()) {
            co_return fail(ErrorCode::NoRoute, "no administration call POST /admin/commands/" + command);
        }
        co_return it->second(router, body);
    }

    std::map<std::string, Handler> queries;
    std::map<std::string, Handler> commands;
    std::vector<std::pair<Endpoint, Json>> posted;
};

struct Run {
    explicit Run(std::uint16_t routers)
    {
        for (std::uint16_t i = 1; i <= routers; ++i) {
            session.routers.push_back({ "127.54.0.1", i });
        }
        session.confirmLimit = std::chrono::milliseconds(0);
    }

    ExitCode command(std::unique_ptr<Command> command, std::vector<std::string> arguments)
    {
        TCLAP::CmdLine line("test", ' ', "0");
        line.setExceptionHandling(false);
        command->declare(line);
        arguments.insert(arguments.begin(), "test");
        line.parse(arguments);
        asio::io_context context(1);
        auto code = ExitCode::BadInput;
        asio::co_spawn(
            context, command->run(session), [&](const std::exception_ptr&, ExitCode result) { code = result; });
        context.run();
        return code;
    }

    FakeClient client;
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    Session session { client, {}, in, out, err };
};

Outcome<Json> lostResponse() { return fail(ErrorCode::ConnectionLost, "connection lost", RunState::Unknown); }

Json keysResponse(const std::string& id, const std::string& state)
{
    return { { "keys", { { { "key", id }, { "state", state } } } } };
}

} // namespace

// Guards against a change that is applied twice, or reported as failed, when the response of the first router is lost.
Test(Apply, repeatsWithTheSameChangeIdAtAnotherRouter)
{
    Run run(3);
    run.client.commands["apply"] = [](const Endpoint& router, const Json&) -> Outcome<Json> {
        return router.port == 1 ? lostResponse() : Json { { "revision", 7 }, { "repeated", true } };
    };
    run.client.queries["status"] = [](const Endpoint& router, const Json&) -> Outcome<Json> {
        return Json { { "vm", "vm-" + std::to_string(router.port) }, { "revision", router.port == 3 ? 6 : 7 } };
    };
    const auto code = run.command(makeApply(), { POLLENWIND_EXAMPLES "/demo/services.json", "--base", "5" });
    cr_assert_eq(run.client.posted.size(), 2);
    cr_assert(run.client.posted[0].second == run.client.posted[1].second);
    cr_assert_eq(run.client.posted[0].second["base_revision"], 5);
    cr_assert(run.out.str() == "accepted as revision 7\nin force on 2 of 3\n", "%s", run.out.str().c_str());
    cr_assert(run.err.str() == "not confirmed by vm-3: not in force yet\n", "%s", run.err.str().c_str());
    cr_assert(code == ExitCode::Failed);
}

// Guards against reporting a change as not applied when an earlier response was lost and no later router was reachable.
Test(Apply, reportsAnUnknownOutcome)
{
    Run run(2);
    run.client.commands["apply"] = [](const Endpoint& router, const Json&) -> Outcome<Json> {
        return router.port == 1 ? lostResponse() : fail(ErrorCode::ConnectFailed, "refused");
    };
    cr_assert(run.command(makeApply(), { POLLENWIND_EXAMPLES "/demo/services.json" }) == ExitCode::Failed);
    cr_assert(run.err.str().find("whether it took effect is unknown") != std::string::npos);
}

// Guards against sending an invalid document, and against retrying a change that a router has refused.
Test(Apply, stopsAtFaultsAndRefusals)
{
    Run bad(2);
    cr_assert(bad.command(makeApply(), { POLLENWIND_EXAMPLES "/demo/router.json" }) == ExitCode::BadInput);
    cr_assert(bad.client.posted.empty());
    cr_assert(bad.err.str().starts_with(POLLENWIND_EXAMPLES "/demo/router.json:2:"));

    Run conflict(2);
    conflict.client.commands["apply"] = [](const Endpoint&, const Json&) -> Outcome<Json> {
        return fail(ErrorCode::Conflict, "revision 9 by \"ann\" was applied meanwhile");
    };
    cr_assert(conflict.command(makeApply(), { POLLENWIND_EXAMPLES "/demo/services.json" }) == ExitCode::Failed);
    cr_assert_eq(conflict.client.posted.size(), 1);
    cr_assert(conflict.err.str().find("revision 9 by \"ann\"") != std::string::npos);
}

// Guards against counting only the VMs in the operator's settings, and against counting VMs that are leaving or gone.
Test(Confirmation, countsTheLiveMembers)
{
    Run run(1);
    run.client.commands["apply"] = [](const Endpoint&, const Json&) { return Json { { "revision", 2 } }; };
    run.client.queries["status"]
        = [](const Endpoint&, const Json&) { return Json { { "vm", "vm-1" }, { "revision", 2 } }; };
    run.client.queries["members"] = [](const Endpoint&, const Json&) {
        return Json::parse(R"({"members": [{"vm": "vm-1", "state": "live"}, {"vm": "vm-2", "state": "suspected"},
                              {"vm": "vm-3", "state": "gone"}, {"vm": "vm-4", "state": "leaving"}]})");
    };
    cr_assert(run.command(makeApply(), { POLLENWIND_EXAMPLES "/demo/services.json" }) == ExitCode::Failed);
    cr_assert(run.out.str().find("in force on 1 of 2\n") != std::string::npos, "%s", run.out.str().c_str());
    cr_assert(run.err.str() == "not confirmed by vm-2: its administration address is not known here\n");
}

// Guards against sending a key to a router, and against printing a key that no router accepted.
Test(Keys, sendsOnlyTheDigest)
{
    Run run(1);
    run.client.commands["key"] = [](const Endpoint&, const Json&) { return Json { { "revision", 2 } }; };
    run.client.queries["keys"] = [&](const Endpoint&, const Json&) {
        return keysResponse(run.client.posted[0].second["digest"].get<std::string>().substr(0, 12), "valid");
    };
    cr_assert(run.command(makeKeyGive(), { "garage" }) == ExitCode::Done);
    const auto output = run.out.str();
    const auto key = output.substr(4, output.find('\n') - 4);
    cr_assert_eq(key.size(), 67);
    cr_assert(run.client.posted[0].second.dump().find(key) == std::string::npos);

    Run refused(1);
    cr_assert(refused.command(makeKeyGive(), { "garage" }) == ExitCode::Failed);
    cr_assert(refused.out.str().empty());
}

// Guards against accepting a key on the command line, where other users can read it, and too few digits of a digest.
Test(Keys, withdrawsByDigitsOrFromStandardInput)
{
    Run run(1);
    run.client.commands["key"] = [](const Endpoint&, const Json&) { return Json { { "revision", 2 } }; };
    run.client.queries["keys"] = [](const Endpoint&, const Json&) { return keysResponse("ba7816bf8f01", "withdrawn"); };
    cr_assert(run.command(makeKeyWithdraw(), { "pw-0123456789abcdef" }) == ExitCode::BadInput);
    cr_assert(run.command(makeKeyWithdraw(), { "ba7816b" }) == ExitCode::BadInput);
    cr_assert(run.client.posted.empty());
    cr_assert(run.command(makeKeyWithdraw(), { "ba7816bf" }) == ExitCode::Done);
    run.in.str("abc\n");
    cr_assert(run.command(makeKeyWithdraw(), { "-" }) == ExitCode::Done);
    const std::string digest = run.client.posted[1].second["digest"];
    cr_assert(digest == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against reporting success for a command that the routers do not support.
Test(Moves, passOnTheRoutersRefusal)
{
    Run run(1);
    cr_assert(run.command(makeMoveStart(), { "fitter", "--to", "v2", "--by", "45m" }) == ExitCode::Failed);
    cr_assert(run.err.str().starts_with("move start: no-route: "));
    cr_assert(run.command(makeMoveCancel(), { "fitter" }) == ExitCode::Failed);
}

// Guards against misreading a deadline, and against accepting one that lies in the past or names a nonexistent day.
Test(Moves, readsDeadlines)
{
    const WallTime now = std::chrono::seconds(1'764'806'400); // 2025-12-04T00:00:00Z
    cr_assert(parseDeadline("45m", now) == now + std::chrono::minutes(45));
    cr_assert(parseDeadline("2025-12-04T18:00:00Z", now) == now + std::chrono::hours(18));
    for (const char* bad : { "", "m", "45", "-1m", "0s", "45 m", "9999999999h", "2025-12-03T23:59:59Z",
             "2025-12-32T00:00:00Z", "2025-12-04T18:00:00Zx", "2025-12-04", "2027-12-04T18:00:00Z" }) {
        cr_assert(!parseDeadline(bad, now), "%s", bad);
    }
}

// Guards against an event order that depends on the order of the responses, and against unescaped event fields.
Test(Timeline, mergesByStampAndEscapes)
{
    const auto event = [](std::uint64_t wall, int counter, const std::string& process, const std::string& field) {
        return Json { { "wall_us", wall }, { "counter", counter }, { "process", process }, { "event", "store-down" },
            { "fields", { { "reason", field } } } };
    };
    const Json a = { { "events", { event(5, 0, "a", "1"), event(9, 1, "a", "4") } } };
    const Json b = { { "events", { event(9, 0, "b", "3"), event(5, 0, "b", "2"), event(9, 1, "b", "<script>&") } } };
    const auto merged = mergeEvents({ a, b });
    cr_assert(merged == mergeEvents({ b, a }));
    std::string order;
    for (const auto& it : merged) {
        order += textField(it["fields"], "reason").substr(0, 1);
    }
    cr_assert(order == "1234<");
    const auto page = renderTimelinePage(merged);
    cr_assert(page.find("<script>") == std::string::npos);
    cr_assert(page.find("reason=&lt;script&gt;&amp;") != std::string::npos);
    cr_assert(!renderTimelinePage(Json::array()).empty());
}

// Guards against misreading an operator settings file or a router list, and against unreported faults in them.
Test(OperatorSettings, reportsFaults)
{
    const auto good = parseOperatorSettings("// c\n{\"routers\": [\"127.0.0.1:1\"], \"token_file\": \"t\"}");
    cr_assert(good && good->routers.size() == 1);
    const auto bad = parseOperatorSettings(R"({"router": [], "token": "a", "token_file": "b"})");
    cr_assert(!bad);
    cr_assert_eq(bad.error().size(), 2);
    cr_assert(bad.error()[0].reason == "unknown field \"router\" in the operator settings; did you mean \"routers\"?");
    cr_assert(!parseRouterList("127.0.0.1:1,"
                               "127.0.0.1"));
    cr_assert_eq(parseRouterList("127.0.0.1:1,127.0.0.1:2")->size(), 2);
}
