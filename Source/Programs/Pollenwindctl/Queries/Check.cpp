#include "Pollenwindctl/DocumentFile.h"
#include "Pollenwindctl/Queries/Queries.h"

namespace Pollenwind::Ctl {

namespace {

    class Check final : public Query {
    public:
        void declare(TCLAP::CmdLine& line) override { line.add(m_file); }
        bool needsRouters() const override { return false; }

        Task<Outcome<QueryResult>> run(Session&) override
        {
            const auto document = loadDocument(m_file.getValue());
            Json faults = Json::array();
            if (!document) {
                for (const auto& it : document.error()) {
                    faults.push_back(it);
                }
            }
            const Json data = { { "file", m_file.getValue() }, { "faults", faults } };
            co_return QueryResult { data, document ? ExitCode::Done : ExitCode::BadInput };
        }

        std::string render(const Json& data) const override
        {
            std::string text;
            for (const auto& it : data["faults"]) {
                text += it.get<std::string>() + "\n";
            }
            return text.empty() ? data["file"].get<std::string>() + ": no faults\n" : text;
        }

    private:
        TCLAP::UnlabeledValueArg<std::string> m_file { "file", "Service document", true, "", "FILE" };
    };

} // namespace

std::unique_ptr<Query> makeCheck() { return std::make_unique<Check>(); }

} // namespace Pollenwind::Ctl
