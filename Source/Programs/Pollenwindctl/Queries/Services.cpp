#include "Pollenwindctl/Queries/Queries.h"
#include "Pollenwindctl/TextTable.h"

namespace Pollenwind::Ctl {

namespace {

    class Services final : public Query {
    public:
        void declare(TCLAP::CmdLine&) override { }

        Task<Outcome<QueryResult>> run(Session& session) override
        {
            auto response = co_await queryAny(session, "services");
            if (!response) {
                co_return std::unexpected(response.error());
            }
            co_return QueryResult { std::move(*response) };
        }

        std::string render(const Json& data) const override
        {
            TextTable table(
                { "SERVICE", "KIND", "VERSION", "UPSTREAM", "ZONE", "ADDRESS", "STATE", "BREAKER", "QUEUED" });
            for (const auto& service : arrayField(data, "services")) {
                const std::vector<std::string> head
                    = { textField(service, "service"), textField(service, "kind"), textField(service, "version") };
                const auto upstreams = arrayField(service, "upstreams");
                if (upstreams.empty()) {
                    table.addRow(head);
                }
                for (const auto& it : upstreams) {
                    auto row = head;
                    for (const char* name : { "upstream", "zone", "address", "state", "breaker" }) {
                        row.push_back(textField(it, name));
                    }
                    row.push_back(formatNumber(numberField(it, "queued_tokens"), 0));
                    table.addRow(std::move(row));
                }
            }
            return table.toString();
        }
    };

} // namespace

std::unique_ptr<Query> makeServices() { return std::make_unique<Services>(); }

} // namespace Pollenwind::Ctl
