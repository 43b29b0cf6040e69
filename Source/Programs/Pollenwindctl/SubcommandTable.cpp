#include "Pollenwindctl/Commands/Commands.h"
#include "Pollenwindctl/Queries/Queries.h"

#include <array>

namespace Pollenwind::Ctl {

std::span<const CommandRow> commandTable()
{
    static constexpr std::array s_rows {
        CommandRow { "apply", "Check a service document and put it in force", makeApply },
        CommandRow { "key give", "Create a key for an organisation and print it once", makeKeyGive },
        CommandRow { "key withdraw", "Withdraw a key", makeKeyWithdraw },
        CommandRow { "drain", "Shut one router down gracefully", makeDrain, false },
        CommandRow { "move start", "Move a service to a new version by a deadline", makeMoveStart },
        CommandRow { "move cancel", "Roll back a running move", makeMoveCancel },
    };
    return s_rows;
}

std::span<const QueryRow> queryTable()
{
    static constexpr std::array s_rows {
        QueryRow { "check", "Check a service document without a router", makeCheck },
        QueryRow { "status", "State and metrics of every router", makeStatus },
        QueryRow { "services", "Services and their upstreams", makeServices },
        QueryRow { "keys", "Keys by the first digits of their digests", makeKeys },
        QueryRow { "moves", "Moves and their steps", makeMoves },
        QueryRow { "limits", "Token limits of the organisations on every router", makeLimits },
        QueryRow { "timeline", "State changes of all routers in causal order", makeTimeline },
        QueryRow { "members", "VMs as the routers see them", makeMembers },
    };
    return s_rows;
}

} // namespace Pollenwind::Ctl
