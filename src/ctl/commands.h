// Entries of the command table. A new command needs a declaration here and an entry in the table in program.cpp.
#pragma once

#include "ctl/command.h"

namespace lacewing::ctl {

// --- config_commands.cpp, config_apply.cpp ---
extern const Command configCheckCommand;
extern const Command configDiffCommand;
extern const Command configApplyCommand;
extern const Command configShowCommand;
extern const Command configHistoryCommand;
extern const Command configSchemaCommand;

// --- job_commands.cpp ---
extern const Command jobSubmitCommand;
extern const Command jobStatusCommand;
extern const Command jobListCommand;
extern const Command jobCancelCommand;

// --- account_commands.cpp ---
extern const Command accountsCommand;

// --- operation_commands.cpp ---
extern const Command statusCommand;
extern const Command drainCommand;
extern const Command reportBatchCommand;
extern const Command reportBurnCommand;

} // namespace lacewing::ctl
