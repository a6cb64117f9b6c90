// Commands of lacewingctl: the table entry, what a command receives, and the exit codes.
#pragma once

#include "base/names.h"
#include "ctl/client.h"
#include "ctl/output.h"

#include <QJsonObject>
#include <cstdint>
#include <cxxopts.hpp>
#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing::ctl {

enum class ExitCode {
    Ok = 0,
    Refused = 1,     // the check or the daemon refused the input
    Usage = 2,       // wrong command line
    Unreachable = 3, // no daemon answered, or every daemon answered that it is unavailable
    Conflict = 4,    // another operator's change was accepted first
    NotFound = 5,
    Timeout = 6,   // no result within the time limit; the call may have been executed
    Aborted = 7,   // the operator declined the confirmation prompt
    JobFailed = 8, // the job ended as failed or cancelled
    Failed = 9,    // unexpected answer, or a local file that cannot be read or written
};

struct ExitCodeDoc {
    ExitCode code;
    std::string_view name; // in JSON errors
    std::string_view doc;
};

inline constexpr ExitCodeDoc exitCodeDocs[] = {
    { ExitCode::Ok, "ok", "success" },
    { ExitCode::Refused, "refused", "the check or the daemon refused the input" },
    { ExitCode::Usage, "usage", "wrong command line" },
    { ExitCode::Unreachable, "unreachable", "no daemon is reachable or available" },
    { ExitCode::Conflict, "conflict", "another operator's change came first" },
    { ExitCode::NotFound, "notFound", "no such job, file or path" },
    { ExitCode::Timeout, "timeout", "no result within the time limit" },
    { ExitCode::Aborted, "aborted", "the operator answered no" },
    { ExitCode::JobFailed, "jobFailed", "the job ended as failed or cancelled" },
    { ExitCode::Failed, "failed", "unexpected answer or local file error" },
};

// Streams, clock, network and settings that the commands use; tests replace them.
struct Environment {
    std::ostream& out;
    std::ostream& err;
    std::istream& in;
    bool isTerminal = false;  // standard input, output and error are terminals
    bool hasColor = false;    // terminal without NO_COLOR
    std::string user = {};    // default author
    std::string daemons = {}; // LACEWING_DAEMONS: addresses separated by commas
    Transport transport = {};
    std::function<void(int)> sleepMs = {};
    std::function<std::int64_t()> nowMs = {};     // monotonic
    std::function<std::string()> generateId = {}; // unique text of letters, digits and '-'
};

struct Context {
    Environment& environment;
    const cxxopts::ParseResult& options;
    std::vector<std::string> arguments; // positional
    bool isJson = false;
    Client client;
};

struct Command {
    std::string_view group = {};     // "config"; empty for a command of one word
    std::string_view name = {};      // "apply"
    std::string_view arguments = {}; // "DIR"
    std::string_view summary = {};
    std::string_view examples = {}; // one command line for each line, without indentation
    std::size_t minimumArguments = 0;
    std::size_t maximumArguments = 0;
    bool needsDaemon = false;
    void (*addOptions)(cxxopts::Options& options) = nullptr;
    ExitCode (*run)(Context& context) = nullptr;
};

// --- Results of commands ---

// Prints one indented JSON document with a final line break.
void printJson(Context& context, const QJsonObject& object);

// Reports a failure: one line on standard error, or with --json an object `{"error": {...}}` on standard output.
ExitCode fail(Context& context, ExitCode code, const std::string& detail, const QJsonObject& extra = {});

// Reports a call that got no answer or a status other than 2xx, and returns the matching exit code.
ExitCode failCall(Context& context, const Answer& answer);

// True for an answer with status 2xx.
bool isSuccess(const Answer& answer);

// Asks a yes/no question on the terminal; any answer other than `y`, `Y` or `yes` counts as no.
bool confirm(Context& context, const std::string& question);

// Overwrites the progress line on the terminal. Without a terminal or with --json it does nothing.
void showProgress(Context& context, const std::string& line);
// Erases the progress line.
void clearProgress(Context& context);

} // namespace lacewing::ctl
