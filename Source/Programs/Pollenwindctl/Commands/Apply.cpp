#include "Common/Digest.h"
#include "Pollenwindctl/Commands/Commands.h"
#include "Pollenwindctl/Confirmation.h"
#include "Pollenwindctl/DocumentFile.h"

namespace Pollenwind::Ctl {

namespace {

    class Apply final : public Command {
    public:
        void declare(TCLAP::CmdLine& line) override
        {
            line.add(m_base);
            line.add(m_operator);
            line.add(m_file);
        }

        Task<ExitCode> run(Session& session) override
        {
            const auto document = loadDocument(m_file.getValue());
            if (!document) {
                for (const auto& it : document.error()) {
                    session.err << it << "\n";
                }
                co_return ExitCode::BadInput;
            }
            // All attempts carry the same id, so that a change whose response was lost is not applied twice.
            Json body
                = { { "change", randomToken() }, { "operator", m_operator.getValue() }, { "document", *document } };
            if (m_base.isSet()) {
                body["base_revision"] = m_base.getValue();
            }
            const auto applied = co_await postWithFailover(session, "apply", body);
            if (!applied) {
                printError(session, "apply", applied.error());
                co_return applied.error().code == ErrorCode::Malformed ? ExitCode::BadInput : ExitCode::Failed;
            }
            const auto revision = static_cast<std::int64_t>(numberField(*applied, "revision"));
            session.out << "accepted as revision " << revision << "\n";
            co_return co_await waitUntilInForce(session, "status", [revision](const Json& status) {
                return numberField(status, "revision") >= static_cast<double>(revision);
            });
        }

    private:
        TCLAP::ValueArg<std::int64_t> m_base { "", "base",
            "Apply only if this revision is in force; otherwise the conflicting change is reported", false, 0,
            "REVISION" };
        TCLAP::ValueArg<std::string> m_operator { "", "operator", "Name recorded with the change", false,
            operatorName(), "NAME" };
        TCLAP::UnlabeledValueArg<std::string> m_file { "file", "Service document", true, "", "FILE" };
    };

} // namespace

std::unique_ptr<Command> makeApply() { return std::make_unique<Apply>(); }

} // namespace Pollenwind::Ctl
