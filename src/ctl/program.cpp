// Parses the command line of lacewingctl, prints the help, runs the commands and reports their results.
#include "ctl/program.h"

#include "ctl/commands.h"

#include <QJsonDocument>
#include <algorithm>
#include <iostream>

namespace lacewing::ctl {

namespace {

    constexpr const Command* commandTable[] = {
        &configCheckCommand,
        &configDiffCommand,
        &configApplyCommand,
        &configShowCommand,
        &configHistoryCommand,
        &configSchemaCommand,
        &jobSubmitCommand,
        &jobStatusCommand,
        &jobListCommand,
        &jobCancelCommand,
        &statusCommand,
        &accountsCommand,
        &drainCommand,
        &reportBatchCommand,
        &reportBurnCommand,
    };

    std::string fullName(const Command& command)
    {
        return std::string(command.group) + (command.group.empty() ? "" : " ") + std::string(command.name);
    }

    // A command line, split before the options of the command are parsed.
    struct CommandLine {
        std::vector<std::string> leadingOptions; // options before the command, with their values
        const Command* command = nullptr;
        std::vector<std::string> commandWords; // up to two words in the position of the command; they may not name one
        std::vector<std::string> remaining;    // arguments after the command
    };

    CommandLine splitCommandLine(const std::vector<std::string>& arguments)
    {
        CommandLine line;
        std::size_t at = 0;
        while (at < arguments.size() && arguments[at].starts_with("-")) {
            const bool takesValue = arguments[at] == "--daemon" || arguments[at] == "--timeout-ms";
            line.leadingOptions.push_back(arguments[at++]);
            if (takesValue && at < arguments.size())
                line.leadingOptions.push_back(arguments[at++]);
        }
        for (std::size_t count = 0; count < 2 && at + count < arguments.size(); ++count) {
            if (arguments[at + count].starts_with("-"))
                break;
            line.commandWords.push_back(arguments[at + count]);
        }
        for (const Command* command : commandTable) {
            const bool isGroup = !command->group.empty() && line.commandWords.size() == 2
                && line.commandWords[0] == command->group && line.commandWords[1] == command->name;
            const bool isSingle
                = command->group.empty() && !line.commandWords.empty() && line.commandWords[0] == command->name;
            if (isGroup || isSingle) {
                line.command = command;
                at += isGroup ? 2 : 1;
                break;
            }
        }
        line.remaining.assign(
            arguments.begin() + static_cast<std::ptrdiff_t>(std::min(at, arguments.size())), arguments.end());
        return line;
    }

    std::string exitCodeText()
    {
        std::string text = "Exit codes:\n";
        for (const ExitCodeDoc& doc : exitCodeDocs)
            text += "  " + std::to_string(static_cast<int>(doc.code)) + "  " + std::string(doc.doc) + "\n";
        return text;
    }

    std::string overview(const std::string& group)
    {
        Table table;
        table.header = { "COMMAND", "PURPOSE" };
        for (const Command* command : commandTable) {
            if (!group.empty() && group != command->group)
                continue;
            const std::string arguments = command->arguments.empty() ? "" : " " + std::string(command->arguments);
            table.rows.push_back({ fullName(*command) + arguments, std::string(command->summary) });
        }
        return "Usage: lacewingctl [--daemon HOST:PORT]... [--json] COMMAND [OPTION]...\n\n" + render(table, false)
            + "\nOptions for all commands:\n"
              "  --daemon HOST:PORT  daemon to ask; repeat it to name more, which are tried in order\n"
              "                      (default: environment variable LACEWING_DAEMONS, separated by commas)\n"
              "  --json              print one JSON document\n"
              "  --timeout-ms N      time limit of one attempt at one daemon (default 5000)\n"
              "  --help, --version\n\n"
            + exitCodeText() + "\nlacewingctl COMMAND --help shows the options and examples of a command.\n";
    }

    cxxopts::Options optionsOf(const Command& command)
    {
        cxxopts::Options options("lacewingctl " + fullName(command), std::string(command.summary) + "\n");
        options.custom_help("[OPTION]...");
        options.positional_help(std::string(command.arguments));
        options.add_options()("daemon", "daemon to ask; several are tried in order",
            cxxopts::value<std::vector<std::string>>(), "HOST:PORT")("json", "print one JSON document")("timeout-ms",
            "time limit of one attempt at one daemon", cxxopts::value<int>()->default_value("5000"),
            "N")("h,help", "print this help and exit");
        if (command.addOptions != nullptr)
            command.addOptions(options);
        options.add_options("hidden")("arguments", "", cxxopts::value<std::vector<std::string>>());
        options.parse_positional({ "arguments" });
        return options;
    }

    std::string helpOf(const Command& command, const cxxopts::Options& options)
    {
        std::string text = options.help({ "" }) + "\nExamples:\n";
        std::string_view rest = command.examples;
        while (!rest.empty()) {
            const std::size_t end = rest.find('\n');
            text += "  " + std::string(rest.substr(0, end)) + "\n";
            rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        }
        return text + "\n" + exitCodeText();
    }

    ExitCode usageError(Environment& environment, const std::string& detail)
    {
        environment.err << "lacewingctl: " << printable(detail) << "; see --help\n";
        return ExitCode::Usage;
    }

    std::vector<std::string> splitAtCommas(const std::string& text)
    {
        std::vector<std::string> parts;
        std::size_t begin = 0;
        while (begin < text.size()) {
            const std::size_t end = std::min(text.find(',', begin), text.size());
            if (end > begin)
                parts.push_back(text.substr(begin, end - begin));
            begin = end + 1;
        }
        return parts;
    }

    ExitCode runCommand(const Command& command, const cxxopts::Options& definition, const cxxopts::ParseResult& options,
        Environment& environment)
    {
        if (options.count("help") > 0) {
            environment.out << helpOf(command, definition);
            return ExitCode::Ok;
        }
        Context context { environment, options, {}, options.count("json") > 0, {} };
        if (options.count("arguments") > 0)
            context.arguments = options["arguments"].as<std::vector<std::string>>();
        if (context.arguments.size() < command.minimumArguments)
            return usageError(environment, "missing argument " + std::string(command.arguments));
        if (context.arguments.size() > command.maximumArguments)
            return usageError(environment, "unexpected argument '" + context.arguments[command.maximumArguments] + "'");
        context.client.addresses = options.count("daemon") > 0 ? options["daemon"].as<std::vector<std::string>>()
                                                               : splitAtCommas(environment.daemons);
        for (const std::string& address : context.client.addresses) {
            if (!isAddress(address))
                return usageError(environment, "'" + address + "' is not HOST:PORT");
        }
        if (command.needsDaemon && context.client.addresses.empty())
            return usageError(environment, "no daemon is named: use --daemon HOST:PORT or LACEWING_DAEMONS");
        context.client.timeoutMs = options["timeout-ms"].as<int>();
        if (context.client.timeoutMs < 1)
            return usageError(environment, "--timeout-ms must be at least 1");
        context.client.transport = environment.transport;
        context.client.sleepMs = environment.sleepMs;
        context.client.nowMs = environment.nowMs;
        return command.run(context);
    }

} // namespace

std::span<const Command* const> commands() { return commandTable; }

ExitCode runProgram(const std::vector<std::string>& arguments, Environment& environment, std::string_view version)
{
    const CommandLine line = splitCommandLine(arguments);
    if (line.command == nullptr) {
        const auto contains = [](const std::vector<std::string>& texts, const char* text) {
            return std::find(texts.begin(), texts.end(), text) != texts.end();
        };
        if (contains(line.leadingOptions, "--version")) {
            environment.out << "lacewingctl " << version << "\n";
            return ExitCode::Ok;
        }
        const std::string group = line.commandWords.empty() ? "" : line.commandWords[0];
        const bool isGroup = std::any_of(std::begin(commandTable), std::end(commandTable),
            [&](const Command* command) { return !group.empty() && command->group == group; });
        const bool isHelp = contains(arguments, "--help") || contains(arguments, "-h");
        if (isHelp && (group.empty() || isGroup)) {
            environment.out << overview(group);
            return ExitCode::Ok;
        }
        if (line.commandWords.empty())
            return usageError(environment, "no command is given");
        const std::string unknown
            = line.commandWords[0] + (isGroup && line.commandWords.size() > 1 ? " " + line.commandWords[1] : "");
        return usageError(environment,
            isGroup && line.commandWords.size() == 1 ? "'" + group + "' needs a subcommand"
                                                     : "unknown command '" + unknown + "'");
    }
    cxxopts::Options options = optionsOf(*line.command);
    std::vector<std::string> argumentsToParse = line.leadingOptions;
    argumentsToParse.insert(argumentsToParse.end(), line.remaining.begin(), line.remaining.end());
    std::vector<const char*> pointers { "lacewingctl" };
    for (const std::string& argument : argumentsToParse)
        pointers.push_back(argument.c_str());
    try {
        const cxxopts::ParseResult parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
        return runCommand(*line.command, options, parsed, environment);
    } catch (const cxxopts::exceptions::exception& error) {
        return usageError(environment, error.what());
    }
}

// --- Results of commands ---

void printJson(Context& context, const QJsonObject& object)
{
    context.environment.out << QJsonDocument(object).toJson(QJsonDocument::Indented).toStdString();
}

ExitCode fail(Context& context, ExitCode code, const std::string& detail, const QJsonObject& extra)
{
    clearProgress(context);
    if (!context.isJson) {
        context.environment.err << colored("lacewingctl: ", Color::Red, context.environment.hasColor)
                                << printable(detail) << "\n";
        return code;
    }
    QJsonObject error = extra;
    for (const ExitCodeDoc& doc : exitCodeDocs) {
        if (doc.code == code)
            error["result"] = QString::fromUtf8(doc.name.data(), static_cast<qsizetype>(doc.name.size()));
    }
    error["exitCode"] = static_cast<int>(code);
    error["detail"] = QString::fromStdString(detail);
    printJson(context, { { "error", error } });
    return code;
}

bool isSuccess(const Answer& answer)
{
    return answer.kind == Answer::Kind::Answered && answer.status >= 200 && answer.status < 300;
}

ExitCode failCall(Context& context, const Answer& answer)
{
    if (answer.kind == Answer::Kind::Unreachable)
        return fail(context, ExitCode::Unreachable, "no daemon is reachable (" + answer.detail + ")");
    if (answer.kind == Answer::Kind::Unknown)
        return fail(context, ExitCode::Timeout, "no result; the call may have been executed (" + answer.detail + ")");
    std::string detail = answer.body["detail"].toString().toStdString();
    const std::string field = answer.body["field"].toString().toStdString();
    if (!field.empty())
        detail = field + ": " + detail;
    if (detail.empty())
        detail = "unexpected answer with status " + std::to_string(answer.status);
    QJsonObject extra { { "status", answer.status }, { "daemon", QString::fromStdString(answer.daemon) } };
    if (answer.body.contains("code"))
        extra["code"] = answer.body["code"];
    if (answer.body.contains("errors"))
        extra["errors"] = answer.body["errors"];
    detail = answer.daemon + ": " + detail;
    switch (answer.status) {
    case 400:
    case 413:
    case 422:
        return fail(context, ExitCode::Refused, detail, extra);
    case 404:
        return fail(context, ExitCode::NotFound, detail, extra);
    case 409:
        return fail(context, ExitCode::Conflict, detail, extra);
    case 503:
        return fail(context, ExitCode::Unreachable, detail, extra);
    case 504:
        return fail(context, ExitCode::Timeout, detail, extra);
    default:
        return fail(context, ExitCode::Failed, detail, extra);
    }
}

bool confirm(Context& context, const std::string& question)
{
    context.environment.out << question << " [y/N] " << std::flush;
    std::string answer;
    std::getline(context.environment.in, answer);
    return answer == "y" || answer == "Y" || answer == "yes";
}

void showProgress(Context& context, const std::string& line)
{
    if (context.environment.isTerminal && !context.isJson)
        context.environment.err << "\r\033[K" << printable(line) << std::flush;
}

void clearProgress(Context& context)
{
    if (context.environment.isTerminal && !context.isJson)
        context.environment.err << "\r\033[K" << std::flush;
}

} // namespace lacewing::ctl
