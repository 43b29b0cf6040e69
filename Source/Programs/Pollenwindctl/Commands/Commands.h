#pragma once

#include "Pollenwindctl/Subcommand.h"

/// Factory functions of the commands, one for each source file of this folder.
namespace Pollenwind::Ctl {

std::unique_ptr<Command> makeApply();
std::unique_ptr<Command> makeKeyGive();
std::unique_ptr<Command> makeKeyWithdraw();
std::unique_ptr<Command> makeDrain();
std::unique_ptr<Command> makeMoveStart();
std::unique_ptr<Command> makeMoveCancel();

} // namespace Pollenwind::Ctl
