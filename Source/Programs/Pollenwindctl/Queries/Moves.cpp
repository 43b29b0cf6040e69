#include "Pollenwindctl/DeadlineForm.h"
#include "Pollenwindctl/Queries/Queries.h"
#include "Pollenwindctl/TextTable.h"

#include <cmath>

namespace Pollenwind::Ctl {

namespace {

    class Moves final : public Query {
    public:
        void declare(TCLAP::CmdLine&) override { }

        Task<Outcome<QueryResult>> run(Session& session) override
        {
            auto response = co_await queryAny(session, "moves");
            if (!response) {
                co_return std::unexpected(response.error());
            }
            co_return QueryResult { std::move(*response) };
        }

        std::string render(const Json& data) const override
        {
            TextTable table({ "SERVICE", "FROM", "TO", "STATE", "SHARE", "BY", "REASON" });
            for (const auto& it : arrayField(data, "moves")) {
                const auto deadline = std::chrono::milliseconds(std::llround(numberField(it, "deadline_ms")));
                table.addRow({ textField(it, "service"), textField(it, "from"), textField(it, "to"),
                    textField(it, "state"), formatNumber(100 * numberField(it, "share"), 1) + " %",
                    formatTime(deadline), textField(it, "reason") });
            }
            return table.toString();
        }
    };

} // namespace

std::unique_ptr<Query> makeMoves() { return std::make_unique<Moves>(); }

} // namespace Pollenwind::Ctl
