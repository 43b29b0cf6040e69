#include "Pollenwindctl/Commands/Commands.h"

namespace Pollenwind::Ctl {

namespace {

    class MoveCancel final : public Command {
    public:
        void declare(TCLAP::CmdLine& line) override { line.add(m_service); }

        Task<ExitCode> run(Session& session) override
        {
            const Json body = { { "service", m_service.getValue() }, { "operator", operatorName() } };
            const auto cancelled = co_await postWithFailover(session, "move-cancel", body);
            if (!cancelled) {
                printError(session, "move cancel", cancelled.error());
                co_return ExitCode::Failed;
            }
            session.out << "ordered\n";
            co_return ExitCode::Done;
        }

    private:
        TCLAP::UnlabeledValueArg<std::string> m_service { "service", "Service whose move is rolled back", true, "",
            "SERVICE" };
    };

} // namespace

std::unique_ptr<Command> makeMoveCancel() { return std::make_unique<MoveCancel>(); }

} // namespace Pollenwind::Ctl
