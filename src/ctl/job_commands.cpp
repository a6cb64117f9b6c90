// Commands job submit, status, list and cancel.
#include "base/json.h"
#include "ctl/commands.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QUrl>
#include <algorithm>
#include <istream>
#include <iterator>
#include <optional>
#include <ostream>

namespace lacewing::ctl {

namespace {

    constexpr int waitPollMs = 1000;
    // Failed status queries are tolerated for this long: a daemon that has just started does not know every job yet.
    constexpr int statusFailureLimitMs = 30'000;

    QByteArray jobPath(const std::string& id)
    {
        return "/v1/jobs/" + QUrl::toPercentEncoding(QString::fromStdString(id));
    }

    std::string textOf(const QJsonObject& object, const char* key) { return object[key].toString().toStdString(); }

    std::int64_t numberOf(const QJsonObject& object, const char* key) { return object[key].toInteger(); }

    bool isEnded(const std::string& state) { return state == "finished" || state == "failed" || state == "cancelled"; }

    Color colorOf(const std::string& state)
    {
        if (state == "finished")
            return Color::Green;
        if (state == "failed" || state == "cancelled")
            return Color::Red;
        return state == "unknown" ? Color::Yellow : Color::None;
    }

    // --- submit ---

    void addSubmitOptions(cxxopts::Options& options)
    {
        options.add_options()("team", "team that the job counts for", cxxopts::value<std::string>(), "NAME")(
            "service", "service that the job belongs to", cxxopts::value<std::string>(), "NAME")("class",
            "batch (default), or watch for a job that runs until it is cancelled", cxxopts::value<std::string>(),
            "CLASS")("cpu-milli", "processors in 1/1000 core", cxxopts::value<std::int64_t>(), "N")("memory-mb",
            "memory in MB", cxxopts::value<std::int64_t>(),
            "N")("accelerators", "accelerators", cxxopts::value<std::int64_t>(), "N")(
            "duration-ms", "expected run time in ms", cxxopts::value<std::int64_t>(), "N")("id",
            "identity of the job; a repeat with the same content is recognised", cxxopts::value<std::string>(),
            "ID")("file", "read the job as JSON from a file, or from standard input with '-'; options replace its keys",
            cxxopts::value<std::string>(), "FILE")("wait", "wait until the job has ended")(
            "wait-timeout-s", "time limit of --wait (0: none)", cxxopts::value<int>()->default_value("0"), "N");
    }

    // Reads the job from --file, or an empty one without it. On failure reports it, sets `code` and returns nullopt.
    std::optional<QJsonObject> readJobFile(Context& context, ExitCode& code)
    {
        if (context.options.count("file") == 0)
            return QJsonObject();
        const std::string name = context.options["file"].as<std::string>();
        QByteArray text;
        if (name == "-") {
            text = QByteArray::fromStdString(std::string(std::istreambuf_iterator<char>(context.environment.in), {}));
        } else {
            QFile file(QString::fromStdString(name));
            if (!file.open(QIODevice::ReadOnly)) {
                code = fail(context, ExitCode::NotFound, name + ": " + file.errorString().toStdString());
                return std::nullopt;
            }
            text = file.readAll();
        }
        const auto parsed = base::parseJsonObject(text.toStdString(), name);
        if (parsed.has_error()) {
            code = fail(context, ExitCode::Refused, base::describe(parsed.error().front()));
            return std::nullopt;
        }
        return parsed.value().object;
    }

    void setText(const Context& context, QJsonObject& job, const char* option, const char* key)
    {
        if (context.options.count(option) > 0)
            job[key] = QString::fromStdString(context.options[option].as<std::string>());
    }

    void setNumber(const Context& context, QJsonObject& object, const char* option, const char* key)
    {
        if (context.options.count(option) > 0)
            object[key] = static_cast<qint64>(context.options[option].as<std::int64_t>());
    }

    std::string progressText(const QJsonObject& job)
    {
        std::string text = textOf(job, "id") + " " + textOf(job, "state");
        const QJsonArray tasks = job["tasks"].toArray();
        if (tasks.isEmpty()) // only the scheduling daemon reports tasks
            return text;
        const auto done = std::count_if(
            tasks.begin(), tasks.end(), [](const QJsonValue& task) { return task["phase"].toString() == "done"; });
        return text + ", " + std::to_string(done) + " of " + std::to_string(tasks.size()) + " tasks done";
    }

    ExitCode finishWait(Context& context, const QJsonObject& job)
    {
        const std::string state = textOf(job, "state");
        const std::string reason = textOf(job, "reason");
        if (state != "finished") {
            return fail(context, ExitCode::JobFailed,
                "job " + textOf(job, "id") + " ended as " + state + (reason.empty() ? "" : ": " + reason),
                { { "job", job } });
        }
        if (context.isJson)
            printJson(context, job);
        else
            context.environment.out << textOf(job, "id") << " finished\n";
        return ExitCode::Ok;
    }

    ExitCode waitForJob(Context& context, const std::string& id, int timeoutS)
    {
        const std::int64_t start = context.environment.nowMs();
        std::int64_t lastSuccess = start;
        for (;;) {
            const Answer answer = call(context.client, { "GET", jobPath(id) });
            const std::int64_t now = context.environment.nowMs();
            if (isSuccess(answer)) {
                lastSuccess = now;
                if (isEnded(textOf(answer.body, "state"))) {
                    clearProgress(context);
                    return finishWait(context, answer.body);
                }
                showProgress(context, progressText(answer.body));
            } else if (now - lastSuccess >= statusFailureLimitMs) {
                return failCall(context, answer);
            }
            if (timeoutS > 0 && now - start >= std::int64_t { 1000 } * timeoutS)
                return fail(context, ExitCode::Timeout,
                    "job " + id + " has not ended within " + std::to_string(timeoutS) + " s",
                    { { "id", QString::fromStdString(id) } });
            context.environment.sleepMs(waitPollMs);
        }
    }

    ExitCode runSubmit(Context& context)
    {
        ExitCode code = ExitCode::Ok;
        auto job = readJobFile(context, code);
        if (!job)
            return code;
        setText(context, *job, "team", "team");
        setText(context, *job, "service", "service");
        setText(context, *job, "class", "class");
        setText(context, *job, "id", "id");
        setNumber(context, *job, "duration-ms", "durationMs");
        QJsonObject resources = (*job)["resources"].toObject();
        setNumber(context, resources, "cpu-milli", "cpuMilli");
        setNumber(context, resources, "memory-mb", "memoryMb");
        setNumber(context, resources, "accelerators", "accelerators");
        (*job)["resources"] = resources;
        const bool isComplete = job->contains("team") && job->contains("service") && job->contains("durationMs")
            && resources.contains("cpuMilli") && resources.contains("memoryMb");
        if (!isComplete) {
            return fail(context, ExitCode::Usage,
                "a job needs --team, --service, --cpu-milli, --memory-mb and --duration-ms, or --file");
        }
        // Without an id, a retry after a lost answer would create a second job.
        if (!job->contains("id"))
            (*job)["id"] = QString::fromStdString("job-" + context.environment.generateId());
        const std::string id = textOf(*job, "id");
        Call request { "POST", "/v1/jobs", QJsonDocument(*job).toJson(QJsonDocument::Compact) };
        request.needsResult = true;
        const Answer answer = call(context.client, request);
        if (answer.kind == Answer::Kind::Unknown) {
            return fail(context, ExitCode::Timeout,
                "the result is unknown (" + answer.detail + "); repeat with --id " + id,
                { { "id", QString::fromStdString(id) } });
        }
        if (!isSuccess(answer))
            return failCall(context, answer);
        if (context.options.count("wait") > 0) {
            if (!context.isJson)
                context.environment.err << "submitted " << printable(id) << "\n";
            return waitForJob(context, id, context.options["wait-timeout-s"].as<int>());
        }
        if (context.isJson)
            printJson(context, answer.body);
        else
            context.environment.out << printable(textOf(answer.body, "id")) << "\n";
        return ExitCode::Ok;
    }

    // --- status ---

    ExitCode runStatus(Context& context)
    {
        const std::string& id = context.arguments[0];
        const Answer answer = call(context.client, { "GET", jobPath(id) });
        if (!isSuccess(answer))
            return failCall(context, answer);
        const QJsonObject job = answer.body;
        if (context.isJson) {
            printJson(context, job);
            return ExitCode::Ok;
        }
        Table table;
        table.header = { "JOB", textOf(job, "id") };
        const std::string state = textOf(job, "state");
        table.rows.push_back({ std::string("state"), Cell(state, colorOf(state)) });
        const auto addText = [&](const char* title, const std::string& value) {
            if (!value.empty())
                table.rows.push_back({ std::string(title), value });
        };
        addText("reason", textOf(job, "reason"));
        addText("class", textOf(job, "class"));
        addText("team", textOf(job, "team"));
        addText("service", textOf(job, "service"));
        context.environment.out << render(table, context.environment.hasColor);
        if (!job.contains("tasks")) // only the scheduling daemon reports tasks
            return ExitCode::Ok;
        Table tasks;
        tasks.header = { "TASK", "PHASE", "RUN", "FAILURES", "WORKER", "PERCENT" };
        tasks.rightAligned = { 2, 3, 5 };
        for (const auto& value : job["tasks"].toArray()) {
            const QJsonObject task = value.toObject();
            tasks.rows.push_back({ textOf(task, "task"), textOf(task, "phase"), std::to_string(numberOf(task, "run")),
                std::to_string(numberOf(task, "failures")), textOf(task, "worker"),
                std::to_string(numberOf(task, "percent")) });
        }
        context.environment.out << "\n" << render(tasks, context.environment.hasColor);
        return ExitCode::Ok;
    }

    // --- list ---

    void addListOptions(cxxopts::Options& options)
    {
        options.add_options()("state", "only jobs in this state: queued, running, finished, failed, cancelled",
            cxxopts::value<std::string>(), "STATE");
    }

    ExitCode runList(Context& context)
    {
        QByteArray query;
        if (context.options.count("state") > 0)
            query = "?state="
                + QUrl::toPercentEncoding(QString::fromStdString(context.options["state"].as<std::string>()));
        const Answer answer = call(context.client, { "GET", "/v1/jobs" + query });
        if (!isSuccess(answer))
            return failCall(context, answer);
        if (context.isJson) {
            printJson(context, answer.body);
            return ExitCode::Ok;
        }
        Table table;
        table.header = { "JOB", "STATE" };
        for (const auto& value : answer.body["jobs"].toArray()) {
            const QJsonObject job = value.toObject();
            const std::string state = textOf(job, "state");
            table.rows.push_back({ textOf(job, "id"), Cell(state, colorOf(state)) });
        }
        context.environment.out << render(table, context.environment.hasColor);
        return ExitCode::Ok;
    }

    // --- cancel ---

    ExitCode runCancel(Context& context)
    {
        // Cancellation is idempotent: a retry finds the job already cancelled.
        Call request { "DELETE", jobPath(context.arguments[0]) };
        request.needsResult = true;
        const Answer answer = call(context.client, request);
        if (!isSuccess(answer))
            return failCall(context, answer);
        if (context.isJson)
            printJson(context, answer.body);
        else
            context.environment.out << printable(context.arguments[0]) << " cancelled\n";
        return ExitCode::Ok;
    }

} // namespace

const Command jobSubmitCommand {
    .group = "job",
    .name = "submit",
    .summary = "submit a job and print its identity",
    .examples
    = "lacewingctl job submit --team reports --service texts --cpu-milli 2000 --memory-mb 4096 --duration-ms 600000\n"
      "lacewingctl job submit --file job.json --id nightly-2026-12-04 --wait\n"
      "generate-job | lacewingctl job submit --file - --json",
    .needsDaemon = true,
    .addOptions = addSubmitOptions,
    .run = runSubmit,
};

const Command jobStatusCommand {
    .group = "job",
    .name = "status",
    .arguments = "ID",
    .summary = "show one job",
    .examples = "lacewingctl job status nightly-2026-12-04\nlacewingctl job status nightly-2026-12-04 --json",
    .minimumArguments = 1,
    .maximumArguments = 1,
    .needsDaemon = true,
    .run = runStatus,
};

const Command jobListCommand {
    .group = "job",
    .name = "list",
    .summary = "list the jobs that the daemon knows",
    .examples = "lacewingctl job list --state running\nlacewingctl job list --json",
    .needsDaemon = true,
    .addOptions = addListOptions,
    .run = runList,
};

const Command jobCancelCommand {
    .group = "job",
    .name = "cancel",
    .arguments = "ID",
    .summary = "cancel a job",
    .examples = "lacewingctl job cancel nightly-2026-12-04",
    .minimumArguments = 1,
    .maximumArguments = 1,
    .needsDaemon = true,
    .run = runCancel,
};

} // namespace lacewing::ctl
