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
            auto answer = co_await askAny(session, "moves");
            if (!answer) {
                co_return std::unexpected(answer.error());
            }
            co_return QueryResult { std::move(*answer) };
        }

        std::string render(const Json& data) const override
        {
            TextTable table({ "SERVICE", "FROM", "TO", "STATE", "SHARE", "BY", "REASON" });
            for (const auto& it : arrayField(data, "moves")) {
                const auto deadline = std::chrono::milliseconds(std::llround(numberField(it, "deadline_ms")));
                table.addRow({ textField(it, "service"), textField(it, "from"), textField(it, "to"),
                    textField(it, "state"), shortNumber(100 * numberField(it, "share"), 1) + " %", formatTime(deadline),
                    textField(it, "reason") });
            }
            return table.toString();
        }
    };

} // namespace

std::unique_ptr<Query> makeMoves() { return std::make_unique<Moves>(); }

} // namespace Pollenwind::Ctl
