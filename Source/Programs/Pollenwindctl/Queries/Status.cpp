#include "Pollenwindctl/Queries/Queries.h"
#include "Pollenwindctl/TextTable.h"

namespace Pollenwind::Ctl {

namespace {

    // Section 4.2 of the design page: a key table that was confirmed within this time counts as confirmed.
    constexpr double confirmedAgeMs = 2000;

    std::string keyState(const Json& status)
    {
        const auto age = numberField(status, "key_confirmation_age_ms");
        return (age <= confirmedAgeMs ? "confirmed " : "UNCONFIRMED ") + formatNumber(age / 1000, 1) + " s ago";
    }

    std::string hitRate(double cached, double prompt)
    {
        return prompt > 0 ? formatNumber(100 * cached / prompt, 1) + " %" : "-";
    }

    std::vector<std::string> statusRow(const std::string& router, const Json& status)
    {
        const auto counters = objectField(status, "counters");
        const auto firstToken = objectField(objectField(status, "distributions"), "time_to_first_token_seconds");
        const auto milliseconds
            = [&](const char* name) { return formatNumber(numberField(firstToken, name) * 1000, 0) + " ms"; };
        return { router, textField(status, "vm"), textField(status, "zone"),
            formatNumber(numberField(status, "revision"), 0), textField(status, "store"), keyState(status),
            hitRate(numberField(counters, "cached_prompt_tokens_total"), numberField(counters, "prompt_tokens_total")),
            milliseconds("p50"), milliseconds("p99"), formatNumber(numberField(counters, "requests_total"), 0),
            formatNumber(numberField(counters, "requests_refused_total"), 0),
            formatNumber(numberField(counters, "rate_refusals_total"), 0) };
    }

    class Status final : public Query {
    public:
        void declare(TCLAP::CmdLine&) override { }

        Task<Outcome<QueryResult>> run(Session& session) override
        {
            QueryResult result;
            Json routers = Json::array();
            for (const auto& it : co_await queryAll(session, session.routers, "status")) {
                Json row = { { "router", it.router.toString() } };
                if (it.response) {
                    row["status"] = *it.response;
                } else {
                    row["error"]
                        = { { "code", nameOf(it.response.error().code) }, { "message", it.response.error().message } };
                    result.exitCode = ExitCode::Failed;
                }
                routers.push_back(std::move(row));
            }
            result.data = { { "routers", std::move(routers) } };
            co_return result;
        }

        std::string render(const Json& data) const override
        {
            TextTable table({ "ROUTER", "VM", "ZONE", "REVISION", "STORE", "KEYS", "PREFIX-HITS", "FIRST-TOKEN-P50",
                "P99", "REQUESTS", "REFUSED", "OVER-RATE" });
            double cached = 0;
            double prompt = 0;
            for (const auto& it : data["routers"]) {
                if (!it.contains("status")) {
                    table.addRow({ textField(it, "router"), "failed: " + textField(it["error"], "message") });
                    continue;
                }
                table.addRow(statusRow(textField(it, "router"), it["status"]));
                const auto counters = objectField(it["status"], "counters");
                cached += numberField(counters, "cached_prompt_tokens_total");
                prompt += numberField(counters, "prompt_tokens_total");
            }
            return table.toString() + "prefix hit rate over all routers: " + hitRate(cached, prompt) + "\n";
        }
    };

} // namespace

std::unique_ptr<Query> makeStatus() { return std::make_unique<Status>(); }

} // namespace Pollenwind::Ctl
