#pragma once

#include "Common/TaskFault.h"

#include <tclap/CmdLine.h>

#include <iostream>

namespace Pollenwind {

/// Runs the body of a program and reports command-line errors on standard error. If an exception ends the process, its
/// cause is written there in one line.
/// @param name Name of the program, for messages.
/// @param run Function that parses the command line and runs the program; returns the exit code.
/// @return Its exit code, 2 for an invalid command line, 0 after --help and --version.
template <typename Run> int runProgram(const char* name, Run run)
{
    installTerminateHandler();
    try {
        return run();
    } catch (const TCLAP::ArgException& ex) {
        std::cerr << name << ": " << ex.error() << " " << ex.argId() << "\n";
        return 2;
    } catch (const TCLAP::ExitException& ex) {
        return ex.getExitStatus();
    }
}

} // namespace Pollenwind
