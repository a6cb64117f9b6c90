// Entry point of lacewingctl that tests can call without a process: takes the command line, returns the exit code.
#pragma once

#include "ctl/command.h"

#include <span>
#include <string>
#include <vector>

namespace lacewing::ctl {

// All commands, in the order in which the help lists them.
std::span<const Command* const> commands();

// Runs one command line (without the program name) and returns the exit code.
ExitCode runProgram(const std::vector<std::string>& arguments, Environment& environment, std::string_view version);

} // namespace lacewing::ctl
