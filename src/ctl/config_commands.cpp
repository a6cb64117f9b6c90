// Commands config check, diff, show, history and schema.
#include "ctl/commands.h"
#include "ctl/config_view.h"

#include <QJsonDocument>
#include <ostream>

namespace lacewing::ctl {

namespace {

    // --- check ---

    ExitCode runCheck(Context& context)
    {
        ExitCode code = ExitCode::Ok;
        const auto folder = loadFolder(context, context.arguments[0], code);
        if (!folder)
            return code;
        const auto policy = config::checkProposal(folder->files);
        if (policy.has_error())
            return failCheck(context, policy.error());
        const std::vector<std::string> warnings = config::warnings(policy.value());
        if (context.isJson) {
            printJson(context,
                { { "valid", true }, { "files", static_cast<qint64>(folder->files.size()) },
                    { "warnings", toJson(warnings) } });
            return ExitCode::Ok;
        }
        for (const std::string& warning : warnings)
            context.environment.err << colored("warning: ", Color::Yellow, context.environment.hasColor)
                                    << printable(warning) << "\n";
        context.environment.out << folder->files.size() << (folder->files.size() == 1 ? " file is" : " files are")
                                << " valid\n";
        return ExitCode::Ok;
    }

    // --- diff ---

    ExitCode runDiff(Context& context)
    {
        ExitCode code = ExitCode::Ok;
        const auto after = loadFolder(context, context.arguments.back(), code);
        if (!after)
            return code;
        config::Files before;
        if (context.arguments.size() == 2) {
            const auto folder = loadFolder(context, context.arguments.front(), code);
            if (!folder)
                return code;
            before = folder->files;
        } else {
            if (context.client.addresses.empty())
                return fail(
                    context, ExitCode::Usage, "no daemon is named: use --daemon HOST:PORT, or give two folders");
            const auto current = fetchCurrent(context, code);
            if (!current)
                return code;
            before = current->files;
        }
        const auto earlier = config::mergeFiles(before);
        const auto later = config::mergeFiles(after->files);
        if (earlier.has_error())
            return failCheck(context, earlier.error());
        if (later.has_error())
            return failCheck(context, later.error());
        const auto changes = config::diff(earlier.value(), later.value());
        const auto files = changedFiles(before, after->files);
        if (context.isJson) {
            printJson(context, { { "changes", toJson(changes) }, { "files", toJson(files) } });
            return ExitCode::Ok;
        }
        context.environment.out << changesText(changes, context.environment.hasColor);
        if (changes.empty())
            context.environment.out << (files.empty() ? "no difference\n" : "no difference in effect; files differ\n");
        return ExitCode::Ok;
    }

    // --- show ---

    void addShowOptions(cxxopts::Options& options)
    {
        options.add_options()("file", "print the text of one file", cxxopts::value<std::string>(), "NAME")(
            "merged", "print the merged configuration")(
            "to", "write the files and their revision into a folder", cxxopts::value<std::string>(), "DIR");
    }

    void printSummary(Context& context, const config::StoredConfig& current)
    {
        std::ostream& out = context.environment.out;
        out << "revision " << current.revision << " by " << printable(current.author) << " at "
            << timeText(current.timeMs) << "\n";
        if (!current.comment.empty())
            out << "comment  " << printable(current.comment) << "\n";
        Table table;
        table.header = { "FILE", "BYTES" };
        table.rightAligned = { 1 };
        for (const auto& [name, text] : current.files)
            table.rows.push_back({ name, std::to_string(text.size()) });
        out << "\n" << render(table, context.environment.hasColor);
    }

    QJsonObject showJson(const config::StoredConfig& current, const QJsonObject& merged)
    {
        QJsonObject files;
        for (const auto& [name, text] : current.files)
            files.insert(QString::fromStdString(name), QString::fromStdString(text));
        return { { "revision", static_cast<qint64>(current.revision) },
            { "author", QString::fromStdString(current.author) }, { "time", static_cast<qint64>(current.timeMs) },
            { "comment", QString::fromStdString(current.comment) },
            { "operation", QString::fromStdString(current.operation) }, { "files", files }, { "merged", merged } };
    }

    ExitCode showFile(Context& context, const config::StoredConfig& current, const std::string& name)
    {
        const auto entry = current.files.find(name);
        if (entry == current.files.end())
            return fail(
                context, ExitCode::NotFound, "revision " + std::to_string(current.revision) + " has no file " + name);
        if (context.isJson)
            printJson(context,
                { { "file", QString::fromStdString(name) }, { "text", QString::fromStdString(entry->second) } });
        else
            context.environment.out << entry->second;
        return ExitCode::Ok;
    }

    ExitCode runShow(Context& context)
    {
        ExitCode code = ExitCode::Ok;
        const auto current = fetchCurrent(context, code);
        if (!current)
            return code;
        if (current->revision == 0)
            return fail(context, ExitCode::NotFound, "no configuration has been accepted");
        if (context.options.count("to") > 0) {
            const std::string path = context.options["to"].as<std::string>();
            const auto written = writeFolder(path, current->files, current->revision);
            if (written.has_error())
                return fail(context, ExitCode::Failed, written.error().detail);
            if (context.isJson)
                printJson(context,
                    { { "revision", static_cast<qint64>(current->revision) },
                        { "folder", QString::fromStdString(path) } });
            else
                context.environment.out << "revision " << current->revision << " written to " << path << "\n";
            return ExitCode::Ok;
        }
        if (context.options.count("file") > 0)
            return showFile(context, *current, context.options["file"].as<std::string>());
        const auto merged = config::mergeFiles(current->files);
        if (merged.has_error())
            return failCheck(context, merged.error());
        if (context.isJson)
            printJson(context, showJson(*current, merged.value().object));
        else if (context.options.count("merged") > 0)
            printJson(context, merged.value().object);
        else
            printSummary(context, *current);
        return ExitCode::Ok;
    }

    // --- history ---

    void addHistoryOptions(cxxopts::Options& options)
    {
        options.add_options()("limit", "newest revisions to print", cxxopts::value<int>()->default_value("20"), "N")(
            "changes", "print the changes of each revision");
    }

    ExitCode runHistory(Context& context)
    {
        const Answer answer = call(context.client, { "GET", "/v1/config/history" });
        if (!isSuccess(answer))
            return failCall(context, answer);
        std::vector<config::HistoryEntry> entries;
        const auto limit = static_cast<std::size_t>(std::max(0, context.options["limit"].as<int>()));
        for (const auto& value : answer.body["entries"].toArray()) {
            const QByteArray json = QJsonDocument(value.toObject()).toJson(QJsonDocument::Compact);
            auto entry = config::decodeHistoryEntry(json.toStdString());
            if (entry.has_error())
                return fail(context, ExitCode::Failed, answer.daemon + ": " + config::describe(entry.error()));
            if (entries.size() < limit)
                entries.push_back(std::move(entry).value());
        }
        if (context.isJson) {
            QJsonArray list;
            for (const config::HistoryEntry& entry : entries)
                list.append(toJson(entry));
            printJson(context, { { "entries", list } });
            return ExitCode::Ok;
        }
        const bool hasColor = context.environment.hasColor;
        if (context.options.count("changes") > 0) {
            for (const config::HistoryEntry& entry : entries) {
                context.environment.out << colored("revision " + std::to_string(entry.revision), Color::Bold, hasColor)
                                        << " by " << printable(entry.author) << " at " << timeText(entry.timeMs) << "  "
                                        << printable(entry.comment) << "\n"
                                        << changesText(entry.changes, hasColor);
            }
            return ExitCode::Ok;
        }
        Table table;
        table.header = { "REVISION", "TIME", "AUTHOR", "CHANGES", "COMMENT" };
        table.rightAligned = { 0, 3 };
        for (const config::HistoryEntry& entry : entries) {
            table.rows.push_back({ std::to_string(entry.revision), timeText(entry.timeMs), entry.author,
                std::to_string(entry.totalChanges), entry.comment });
        }
        context.environment.out << render(table, hasColor);
        return ExitCode::Ok;
    }

    // --- schema ---

    ExitCode runSchema(Context& context)
    {
        const base::Schema schema = config::policySchema();
        if (!context.isJson) {
            context.environment.out << base::schemaMarkdown(schema);
            return ExitCode::Ok;
        }
        QJsonArray keys;
        for (const base::SchemaRow& row : base::schemaRows(schema)) {
            keys.append(QJsonObject { { "key", QString::fromStdString(row.path) },
                { "type", QString::fromStdString(row.type) }, { "range", QString::fromStdString(row.range) },
                { "default", QString::fromStdString(row.defaultJson) }, { "unit", QString::fromStdString(row.unit) },
                { "doc", QString::fromStdString(row.doc) } });
        }
        printJson(context, { { "keys", keys } });
        return ExitCode::Ok;
    }

} // namespace

const Command configCheckCommand {
    .group = "config",
    .name = "check",
    .arguments = "DIR",
    .summary = "check a folder of configuration files without a daemon",
    .examples = "lacewingctl config check examples/config\nlacewingctl config check --json examples/config",
    .minimumArguments = 1,
    .maximumArguments = 1,
    .run = runCheck,
};

const Command configDiffCommand {
    .group = "config",
    .name = "diff",
    .arguments = "[OLDDIR] DIR",
    .summary = "show what a folder would change against the configuration in force or another folder",
    .examples = "lacewingctl --daemon 10.0.0.1:8080 config diff config\nlacewingctl config diff config.old config",
    .minimumArguments = 1,
    .maximumArguments = 2,
    .run = runDiff,
};

const Command configShowCommand {
    .group = "config",
    .name = "show",
    .summary = "show the configuration in force, or write it into a folder",
    .examples = "lacewingctl config show\nlacewingctl config show --merged\n"
                "lacewingctl config show --file 90-north-out.json\nlacewingctl config show --to config",
    .needsDaemon = true,
    .addOptions = addShowOptions,
    .run = runShow,
};

const Command configHistoryCommand {
    .group = "config",
    .name = "history",
    .summary = "list accepted revisions: who, when, what",
    .examples = "lacewingctl config history --limit 5\nlacewingctl config history --changes",
    .needsDaemon = true,
    .addOptions = addHistoryOptions,
    .run = runHistory,
};

const Command configSchemaCommand {
    .group = "config",
    .name = "schema",
    .summary = "print every key of the configuration with type, range, default and unit",
    .examples = "lacewingctl config schema\nlacewingctl config schema --json",
    .run = runSchema,
};

} // namespace lacewing::ctl
