#include "Pollenwindctl/Queries/Queries.h"
#include "Pollenwindctl/TextTable.h"

namespace Pollenwind::Ctl {

namespace {

    class Limits final : public Query {
    public:
        void declare(TCLAP::CmdLine&) override { }

        Task<Outcome<QueryResult>> run(Session& session) override
        {
            QueryResult result;
            Json routers = Json::array();
            for (const auto& it : co_await queryAll(session, session.routers, "limits")) {
                Json row = { { "router", it.router.toString() } };
                if (it.response) {
                    row["organisations"] = arrayField(*it.response, "organisations");
                } else {
                    row["error"] = it.response.error().message;
                    result.exitCode = ExitCode::Failed;
                }
                routers.push_back(std::move(row));
            }
            result.data = { { "routers", std::move(routers) } };
            co_return result;
        }

        std::string render(const Json& data) const override
        {
            TextTable table({ "ROUTER", "ORGANISATION", "LEVEL", "OUTSTANDING", "BORROWED" });
            for (const auto& router : data["routers"]) {
                if (router.contains("error")) {
                    table.addRow({ textField(router, "router"), "failed: " + textField(router, "error") });
                }
                for (const auto& it : arrayField(router, "organisations")) {
                    std::vector<std::string> row { textField(router, "router"), textField(it, "organisation") };
                    for (const char* name : { "level", "outstanding", "borrowed" }) {
                        row.push_back(formatNumber(numberField(it, name), 0));
                    }
                    table.addRow(std::move(row));
                }
            }
            return table.toString();
        }
    };

} // namespace

std::unique_ptr<Query> makeLimits() { return std::make_unique<Limits>(); }

} // namespace Pollenwind::Ctl
