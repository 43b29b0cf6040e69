#include "Pollenwindctl/Queries/Queries.h"
#include "Pollenwindctl/TextTable.h"

namespace Pollenwind::Ctl {

namespace {

    class Members final : public Query {
    public:
        void declare(TCLAP::CmdLine&) override { }

        Task<Outcome<QueryResult>> run(Session& session) override
        {
            auto response = co_await queryAny(session, "members");
            if (!response) {
                co_return std::unexpected(response.error());
            }
            co_return QueryResult { std::move(*response) };
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
