#pragma once

#include "Pollenwindctl/Subcommand.h"

/// Factory functions of the queries, one for each source file of this folder.
namespace Pollenwind::Ctl {

std::unique_ptr<Query> makeCheck();
std::unique_ptr<Query> makeStatus();
std::unique_ptr<Query> makeServices();
std::unique_ptr<Query> makeKeys();
std::unique_ptr<Query> makeMoves();
std::unique_ptr<Query> makeLimits();
std::unique_ptr<Query> makeTimeline();
std::unique_ptr<Query> makeMembers();

} // namespace Pollenwind::Ctl
