#include "Pollenwindctl/Queries/Queries.h"
#include "Pollenwindctl/TextTable.h"

namespace Pollenwind::Ctl {

namespace {

    class Members final : public Query {
    public:
        void declare(TCLAP::CmdLine&) override { }

        Task<Outcome<QueryResult>> run(Session& session) override
        {
            auto answer = co_await askAny(session, "members");
            if (!answer) {
                co_return std::unexpected(answer.error());
            }
            co_return QueryResult { std::move(*answer) };
        }

        std::string render(const Json& data) const override
        {
            TextTable table({ "VM", "ZONE", "STATE", "ADDRESS" });
            for (const auto& it : arrayField(data, "members")) {
                table.addRow(
                    { textField(it, "vm"), textField(it, "zone"), textField(it, "state"), textField(it, "address") });
            }
            return table.toString();
        }
    };

} // namespace

std::unique_ptr<Query> makeMembers() { return std::make_unique<Members>(); }

} // namespace Pollenwind::Ctl
