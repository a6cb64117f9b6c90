// The program lacewingctl without its process: command line in, exit code out.
#pragma once

#include "ctl/command.h"

#include <span>
#include <string>
#include <vector>

namespace lacewing::ctl {

// All commands, in the order of the help.
std::span<const Command* const> commands();

// Runs one command line (without the program name) and returns the exit code.
ExitCode runProgram(const std::vector<std::string>& arguments, Environment& environment, std::string_view version);

} // namespace lacewing::ctl
