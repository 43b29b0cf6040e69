#include "Pollenwindctl/Commands/Commands.h"

namespace Pollenwind::Ctl {

namespace {

    class Drain final : public Command {
    public:
        void declare(TCLAP::CmdLine&) override { }

        Task<ExitCode> run(Session& session) override
        {
            if (session.routers.size() != 1) {
                session.err << "drain: give the one router to drain with --router\n";
                co_return ExitCode::BadInput;
            }
            const auto& router = session.routers.front();
            const auto drained = co_await session.client.post(router, "drain", Json::object());
            if (!drained) {
                printError(session, "drain", drained.error());
                co_return ExitCode::Failed;
            }
            session.out << router.toString() << " is leaving\n";
            co_return ExitCode::Done;
        }
    };

} // namespace

std::unique_ptr<Command> makeDrain() { return std::make_unique<Drain>(); }

} // namespace Pollenwind::Ctl
