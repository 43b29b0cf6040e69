#include "Common/Digest.h"
#include "Pollenwindctl/Commands/Commands.h"
#include "Pollenwindctl/DeadlineForm.h"

namespace Pollenwind::Ctl {

namespace {

    class MoveStart final : public Command {
    public:
        void declare(TCLAP::CmdLine& line) override
        {
            line.add(m_version);
            line.add(m_deadline);
            line.add(m_service);
        }

        Task<ExitCode> run(Session& session) override
        {
            const auto deadline = parseDeadline(m_deadline.getValue(), SystemClock().wallNow());
            if (!deadline) {
                session.err
                    << "move start: --by takes a UTC time like 2026-12-04T18:00:00Z or a time from now like 45m, "
                       "at most 30 days ahead\n";
                co_return ExitCode::BadInput;
            }
            const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(*deadline).count();
            const Json body = { { "change", randomToken() }, { "service", m_service.getValue() },
                { "to", m_version.getValue() }, { "deadline_ms", milliseconds }, { "operator", operatorName() } };
            const auto ordered = co_await postWithFailover(session, "move-start", body);
            if (!ordered) {
                printError(session, "move start", ordered.error());
                co_return ExitCode::Failed;
            }
            session.out << "ordered; pollenwindctl moves shows the progress\n";
            co_return ExitCode::Done;
        }

    private:
        TCLAP::ValueArg<std::string> m_version { "", "to", "New version", true, "", "VERSION" };
        TCLAP::ValueArg<std::string> m_deadline { "", "by",
            "Deadline: UTC time like 2026-12-04T18:00:00Z, or a time from now like 45m", true, "", "DEADLINE" };
        TCLAP::UnlabeledValueArg<std::string> m_service { "service", "Service to move", true, "", "SERVICE" };
    };

} // namespace

std::unique_ptr<Command> makeMoveStart() { return std::make_unique<MoveStart>(); }

} // namespace Pollenwind::Ctl
