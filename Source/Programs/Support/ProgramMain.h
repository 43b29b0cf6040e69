#pragma once

#include <tclap/CmdLine.h>

#include <iostream>

namespace Pollenwind {

/// Runs a program's body and turns errors of its command line into a message and an exit code.
/// @param name Name of the program, for messages.
/// @param run The body; returns the exit code.
/// @return The body's exit code, 2 for a wrong command line, 0 after --help and --version.
template <typename Run> int runProgram(const char* name, Run run)
{
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
