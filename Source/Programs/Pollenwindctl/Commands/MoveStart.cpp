#include "Common/Digest.h"
#include "Pollenwindctl/Commands/Commands.h"

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
            const Json body = { { "change", randomToken() }, { "service", m_service.getValue() },
                { "version", m_version.getValue() }, { "deadline", m_deadline.getValue() } };
            const auto ordered = co_await postUntilAnswered(session, "move-start", body);
            if (!ordered) {
                printError(session, "move start", ordered.error());
                co_return ExitCode::Failed;
            }
            session.out << "ordered\n";
            co_return ExitCode::Done;
        }

    private:
        TCLAP::ValueArg<std::string> m_version { "", "to", "New version", true, "", "VERSION" };
        TCLAP::ValueArg<std::string> m_deadline { "", "by", "Deadline, e.g. 2026-12-04T18:00:00Z", true, "",
            "DEADLINE" };
        TCLAP::UnlabeledValueArg<std::string> m_service { "service", "Service to move", true, "", "SERVICE" };
    };

} // namespace

std::unique_ptr<Command> makeMoveStart() { return std::make_unique<MoveStart>(); }

} // namespace Pollenwind::Ctl
