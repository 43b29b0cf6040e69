#include "Pollenwindctl/Queries/Queries.h"
#include "Pollenwindctl/TextTable.h"

namespace Pollenwind::Ctl {

namespace {

    class Keys final : public Query {
    public:
        void declare(TCLAP::CmdLine&) override { }

        Task<Outcome<QueryResult>> run(Session& session) override
        {
            auto response = co_await queryAny(session, "keys");
            if (!response) {
                co_return std::unexpected(response.error());
            }
            co_return QueryResult { std::move(*response) };
        }

        std::string render(const Json& data) const override
        {
            TextTable table({ "KEY", "ORGANISATION", "STATE" });
            for (const auto& it : arrayField(data, "keys")) {
                table.addRow({ textField(it, "key"), textField(it, "organisation"), textField(it, "state") });
            }
            return table.toString();
        }
    };

} // namespace

std::unique_ptr<Query> makeKeys() { return std::make_unique<Keys>(); }

} // namespace Pollenwind::Ctl
