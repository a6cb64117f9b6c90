// Command config apply: checks a folder, shows its effect, asks for confirmation and proposes it as a new revision.
// With --wait, waits until the revision is in force everywhere.
#include "ctl/commands.h"
#include "ctl/config_view.h"

#include <QJsonDocument>
#include <algorithm>
#include <ostream>

namespace lacewing::ctl {

namespace {

    constexpr int waitPollMs = 250;

    void addApplyOptions(cxxopts::Options& options)
    {
        options.add_options()("m,comment", "reason of the change, for the history", cxxopts::value<std::string>(),
            "TEXT")("author", "who makes the change (default: the user name)", cxxopts::value<std::string>(), "NAME")(
            "y,yes", "apply without asking")("expect",
            "the revision that the change is based on (default: .lacewing-revision of the folder, else the revision in "
            "force)",
            cxxopts::value<std::uint64_t>(), "REVISION")("operation",
            "identity of this apply; a repeat with the same identity is recognised", cxxopts::value<std::string>(),
            "ID")("allow-empty", "accept a folder without files, which resets everything to defaults")(
            "wait", "wait until every daemon reports the revision")(
            "wait-timeout-s", "time limit of --wait", cxxopts::value<int>()->default_value("30"), "N");
    }

    struct ApplyInput {
        std::string path;
        Folder folder;
        config::StoredConfig current;        // in force before the apply
        base::Revision expected = 0;         // base revision of the proposal
        std::vector<config::Change> changes; // against `current`
    };

    std::string optionOr(const Context& context, const char* name, const std::string& fallback)
    {
        return context.options.count(name) > 0 ? context.options[name].as<std::string>() : fallback;
    }

    // True when two paths name the same value, or one names an object or array that contains the other.
    bool overlaps(const std::string& a, const std::string& b)
    {
        const std::string& shorter = a.size() < b.size() ? a : b;
        const std::string& longer = a.size() < b.size() ? b : a;
        const bool isPrefix = longer.starts_with(shorter);
        return isPrefix
            && (longer.size() == shorter.size() || longer[shorter.size()] == '.' || longer[shorter.size()] == '[');
    }

    // Reports a conflict and lists the revisions that were accepted after the base revision. `ownChanges` are the
    // changes of the operator, or empty when they are not known; paths that both sides changed are marked.
    ExitCode failConflict(Context& context, base::Revision expected, base::Revision current, const std::string& detail,
        const std::vector<config::Change>& ownChanges)
    {
        std::vector<config::HistoryEntry> since = fetchHistory(context);
        std::erase_if(since, [&](const config::HistoryEntry& entry) { return entry.revision <= expected; });
        std::reverse(since.begin(), since.end());
        QJsonArray list;
        QJsonArray overlappingPaths;
        std::ostream& err = context.environment.err;
        const bool hasColor = context.environment.hasColor;
        for (const config::HistoryEntry& entry : since) {
            list.append(toJson(entry));
            if (!context.isJson) {
                err << colored("revision " + std::to_string(entry.revision), Color::Bold, hasColor) << " by "
                    << printable(entry.author) << " at " << timeText(entry.timeMs) << "  " << printable(entry.comment)
                    << "\n"
                    << changesText(entry.changes, hasColor);
            }
            for (const config::Change& change : entry.changes) {
                const bool isOverlapping = std::any_of(ownChanges.begin(), ownChanges.end(),
                    [&](const config::Change& mine) { return overlaps(mine.path, change.path); });
                if (isOverlapping)
                    overlappingPaths.append(QString::fromStdString(change.path));
                if (isOverlapping && !context.isJson)
                    err << colored("both changed: " + printable(change.path), Color::Red, hasColor) << "\n";
            }
        }
        if (!context.isJson) {
            err << "nothing was applied; write revision " << current
                << " into a new folder with 'lacewingctl config show --to "
                << "DIR', repeat your change there and apply that folder\n";
        }
        return fail(context, ExitCode::Conflict, detail,
            { { "expectedRevision", static_cast<qint64>(expected) },
                { "currentRevision", static_cast<qint64>(current) }, { "since", list },
                { "bothChanged", overlappingPaths } });
    }

    ExitCode failStale(Context& context, const ApplyInput& input)
    {
        const config::Conflict conflict { input.expected, input.current.revision, input.current.author,
            input.current.timeMs, input.current.comment };
        return failConflict(context, input.expected, input.current.revision, config::describe(conflict), {});
    }

    void printEffect(Context& context, const ApplyInput& input, const std::vector<std::string>& warnings)
    {
        std::ostream& out = context.environment.out;
        const bool hasColor = context.environment.hasColor;
        out << "revision " << input.current.revision << " is in force"
            << (input.current.revision == 0
                       ? std::string()
                       : " (" + printable(input.current.author) + ", " + timeText(input.current.timeMs) + ")")
            << "; the folder changes:\n"
            << changesText(input.changes, hasColor);
        if (input.changes.empty())
            out << "  nothing in effect\n";
        for (const std::string& name : changedFiles(input.current.files, input.folder.files))
            out << "  file " << printable(name) << "\n";
        for (const std::string& warning : warnings)
            out << colored("warning: ", Color::Yellow, hasColor) << printable(warning) << "\n";
    }

    // Polls the status until every daemon reports the revision or --wait-timeout-s has passed. Returns the daemons and
    // data centres that do not report it at the end.
    std::vector<std::string> waitForRevision(Context& context, base::Revision revision)
    {
        const std::int64_t deadline
            = context.environment.nowMs() + std::int64_t { 1000 } * context.options["wait-timeout-s"].as<int>();
        std::vector<std::string> missing;
        for (;;) {
            const Answer answer = call(context.client, { "GET", "/v1/status" });
            if (isSuccess(answer))
                missing = missingRevision(answer.body, revision);
            else
                missing
                    = { "no daemon answered (" + answer.detail + answer.body["detail"].toString().toStdString() + ")" };
            if (missing.empty() || context.environment.nowMs() >= deadline)
                break;
            showProgress(context,
                "waiting for revision " + std::to_string(revision) + ": " + missing.front()
                    + (missing.size() > 1 ? " and " + std::to_string(missing.size() - 1) + " more" : ""));
            context.environment.sleepMs(waitPollMs);
        }
        clearProgress(context);
        return missing;
    }

    ExitCode finish(Context& context, const ApplyInput& input, base::Revision revision, const std::string& outcome)
    {
        if (input.folder.revision) {
            const auto written = writeRevision(input.path, revision);
            if (written.has_error() && !context.isJson)
                context.environment.err << "lacewingctl: " << written.error().detail << "\n";
        }
        QJsonObject result { { "revision", static_cast<qint64>(revision) },
            { "outcome", QString::fromStdString(outcome) }, { "changes", toJson(input.changes) } };
        if (!context.isJson)
            context.environment.out << "revision " << revision << " " << outcome << "\n";
        if (context.options.count("wait") == 0) {
            if (context.isJson)
                printJson(context, result);
            return ExitCode::Ok;
        }
        const std::vector<std::string> missing = waitForRevision(context, revision);
        if (!missing.empty()) {
            std::string detail = "revision " + std::to_string(revision) + " is accepted, but not yet in force at:";
            for (const std::string& name : missing)
                detail += " " + name + ",";
            detail.pop_back();
            result["missing"] = toJson(missing);
            return fail(context, ExitCode::Timeout, detail, result);
        }
        result["inForce"] = true;
        if (context.isJson)
            printJson(context, result);
        else
            context.environment.out << "revision " << revision << " is in force everywhere\n";
        return ExitCode::Ok;
    }

    ExitCode propose(Context& context, const ApplyInput& input)
    {
        QJsonObject files;
        for (const auto& [name, text] : input.folder.files)
            files.insert(QString::fromStdString(name), QString::fromStdString(text));
        const std::string author = optionOr(context, "author", context.environment.user);
        const std::string operation = optionOr(context, "operation", context.environment.generateId());
        const QJsonObject body { { "expectRevision", static_cast<qint64>(input.expected) },
            { "author", QString::fromStdString(author) },
            { "comment", QString::fromStdString(optionOr(context, "comment", "")) },
            { "operation", QString::fromStdString(operation) }, { "files", files } };
        Call request { "POST", "/v1/config", QJsonDocument(body).toJson(QJsonDocument::Compact) };
        request.needsResult = true; // safe: the daemon recognises a retry by the operation identity
        const Answer answer = call(context.client, request);
        if (answer.kind == Answer::Kind::Unknown) {
            return fail(context, ExitCode::Timeout,
                "the result is unknown (" + answer.detail + "); repeat with --operation " + operation + " --expect "
                    + std::to_string(input.expected) + " to get the result",
                { { "operation", QString::fromStdString(operation) },
                    { "expectedRevision", static_cast<qint64>(input.expected) } });
        }
        if (answer.kind == Answer::Kind::Answered && answer.status == 409) {
            return failConflict(context, input.expected,
                static_cast<base::Revision>(answer.body["currentRevision"].toInteger()),
                answer.body["detail"].toString().toStdString(), input.changes);
        }
        if (!isSuccess(answer)) {
            for (const auto& error : answer.body["errors"].toArray()) {
                if (!context.isJson)
                    context.environment.err << printable(error.toObject()["text"].toString().toStdString()) << "\n";
            }
            return failCall(context, answer);
        }
        const std::string outcome = answer.body["outcome"].toString().toStdString();
        return finish(context, input, static_cast<base::Revision>(answer.body["revision"].toInteger()),
            outcome == "unchanged" ? "already has this content" : "accepted");
    }

    ExitCode runApply(Context& context)
    {
        ExitCode code = ExitCode::Ok;
        ApplyInput input;
        input.path = context.arguments[0];
        auto folder = loadFolder(context, input.path, code);
        if (!folder)
            return code;
        input.folder = std::move(*folder);
        if (input.folder.files.empty() && context.options.count("allow-empty") == 0)
            return fail(
                context, ExitCode::Refused, input.path + " holds no .json file; use --allow-empty to reset everything");
        const auto policy = config::checkProposal(input.folder.files);
        if (policy.has_error())
            return failCheck(context, policy.error());
        if (optionOr(context, "author", context.environment.user).empty())
            return fail(context, ExitCode::Usage, "no author is known: use --author NAME");
        auto current = fetchCurrent(context, code);
        if (!current)
            return code;
        input.current = std::move(*current);
        input.expected = input.folder.revision.value_or(input.current.revision);
        if (context.options.count("expect") > 0)
            input.expected = context.options["expect"].as<std::uint64_t>();
        const auto before = config::mergeFiles(input.current.files);
        const auto after = config::mergeFiles(input.folder.files);
        if (before.has_value() && after.has_value())
            input.changes = config::diff(before.value(), after.value());

        // The daemon that answered may lag behind the store. The proposal is sent even when the content seems
        // unchanged, and the store decides.
        const bool isUnchanged = input.current.revision > 0 && input.current.files == input.folder.files;
        if (isUnchanged)
            return propose(context, input);
        // With --operation, a stale base revision may be a retry of a proposal that was already accepted, so the daemon
        // decides. Without it, a stale base revision is a conflict. If the reported revision is below the expected one,
        // the daemon may only lag behind the store, so the proposal is sent and the store decides.
        if (context.options.count("operation") == 0 && input.expected < input.current.revision)
            return failStale(context, input);
        if (!context.isJson)
            printEffect(context, input, config::warnings(policy.value()));
        if (context.options.count("yes") == 0) {
            if (!context.environment.isTerminal || context.isJson)
                return fail(
                    context, ExitCode::Usage, "not on a terminal or with --json: use --yes to apply without asking");
            if (!confirm(context, "Apply?"))
                return fail(context, ExitCode::Aborted, "nothing was applied");
        }
        return propose(context, input);
    }

} // namespace

const Command configApplyCommand {
    .group = "config",
    .name = "apply",
    .arguments = "DIR",
    .summary = "check a folder, show its effect, ask, and put it in force",
    .examples = "lacewingctl config apply config -m 'take north out' --wait\n"
                "lacewingctl config apply config --yes --expect 17 --operation deploy-4711 --json",
    .minimumArguments = 1,
    .maximumArguments = 1,
    .needsDaemon = true,
    .addOptions = addApplyOptions,
    .run = runApply,
};

} // namespace lacewing::ctl
