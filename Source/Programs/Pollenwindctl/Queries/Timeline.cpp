#include "Pollenwindctl/Queries/Queries.h"
#include "Pollenwindctl/TextTable.h"
#include "Pollenwindctl/TimelinePage.h"

#include <fstream>

namespace Pollenwind::Ctl {

namespace {

    class Timeline final : public Query {
    public:
        void declare(TCLAP::CmdLine& line) override { line.add(m_html); }

        Task<Outcome<QueryResult>> run(Session& session) override
        {
            std::vector<Json> responses;
            QueryResult result;
            for (auto& it : co_await queryAll(session, session.routers, "timeline")) {
                if (it.response) {
                    responses.push_back(std::move(*it.response));
                } else {
                    printError(session, it.router.toString(), it.response.error());
                    result.exitCode = ExitCode::Failed;
                }
            }
            result.data = { { "events", mergeEvents(responses) } };
            if (m_html.isSet()) {
                std::ofstream file(m_html.getValue());
                file << renderTimelinePage(result.data["events"]) << std::flush;
                if (!file) {
                    co_return fail(ErrorCode::Unavailable, m_html.getValue() + ": cannot be written");
                }
            }
            co_return result;
        }

        std::string render(const Json& data) const override
        {
            TextTable table({ "TIME", "PROCESS", "EVENT", "FIELDS" });
            for (const auto& it : data["events"]) {
                table.addRow({ eventTime(it), textField(it, "process"), textField(it, "event"), describeFields(it) });
            }
            return table.toString();
        }

    private:
        TCLAP::ValueArg<std::string> m_html { "", "html", "Also write an HTML page with a diagram to this file", false,
            "", "FILE" };
    };

} // namespace

std::unique_ptr<Query> makeTimeline() { return std::make_unique<Timeline>(); }

} // namespace Pollenwind::Ctl
