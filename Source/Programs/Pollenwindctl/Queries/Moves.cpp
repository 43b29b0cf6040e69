#include "Pollenwindctl/Queries/Queries.h"
#include "Pollenwindctl/TextTable.h"

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
            TextTable table({ "SERVICE", "TO", "BY", "STATE" });
            for (const auto& it : arrayField(data, "moves")) {
                table.addRow({ textField(it, "service"), textField(it, "version"), textField(it, "deadline"),
                    textField(it, "state") });
            }
            return table.toString();
        }
    };

} // namespace

std::unique_ptr<Query> makeMoves() { return std::make_unique<Moves>(); }

} // namespace Pollenwind::Ctl
