// Commands status, drain, report batch and report burn.
#include "ctl/commands.h"
#include "ctl/report_burn.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <cstdio>
#include <map>
#include <ostream>

namespace lacewing::ctl {

namespace {

    constexpr int drainPollMs = 500;

    std::string textOf(const QJsonObject& object, const char* key) { return object[key].toString().toStdString(); }

    std::string numberText(const QJsonObject& object, const char* key)
    {
        return std::to_string(object[key].toInteger());
    }

    std::string yesNo(const QJsonValue& value) { return value.toBool() ? "yes" : "no"; }

    Color colorOf(const std::string& state)
    {
        if (state == "alive" || state == "live" || state == "ready")
            return Color::Green;
        return state == "leaving" || state == "draining" || state == "unverified" ? Color::Yellow : Color::Red;
    }

    // --- status ---

    void addStatusOptions(cxxopts::Options& options)
    {
        options.add_options()("all", "list every endpoint, not only those that are ejected or not live");
    }

    Table memberTable(const QJsonObject& status)
    {
        Table table;
        table.header = { "DAEMON", "DATA CENTRE", "STATE", "REVISION", "STORE", "GATEWAY" };
        table.rightAligned = { 3 };
        for (const auto& value : status["members"].toArray()) {
            const QJsonObject member = value.toObject();
            const std::string state = textOf(member, "state");
            table.rows.push_back({ textOf(member, "name"), textOf(member, "dataCentre"), Cell(state, colorOf(state)),
                numberText(member, "revision"), yesNo(member["storeAccess"]), textOf(member, "gateway") });
        }
        return table;
    }

    Table dataCentreTable(const QJsonObject& status)
    {
        Table table;
        table.header = { "DATA CENTRE", "REACHABLE", "DAEMONS", "LOWEST REVISION" };
        table.rightAligned = { 2, 3 };
        for (const auto& value : status["dataCentres"].toArray()) {
            const QJsonObject dataCentre = value.toObject();
            const bool isReachable = dataCentre["reachable"].toBool();
            table.rows.push_back({ textOf(dataCentre, "name"),
                Cell(yesNo(dataCentre["reachable"]), isReachable ? Color::Green : Color::Red),
                numberText(dataCentre, "membersAlive"), numberText(dataCentre, "lowestRevision") });
        }
        return table;
    }

    Table endpointTable(const QJsonObject& status, bool listsLive, std::size_t& total)
    {
        Table table;
        table.header = { "ENDPOINT", "STATE", "EJECTED", "IN FLIGHT", "SLOTS", "SERVICE TIME" };
        table.rightAligned = { 3, 4, 5 };
        for (const auto& value : status["endpoints"].toArray()) {
            const QJsonObject endpoint = value.toObject();
            const std::string state = textOf(endpoint, "state");
            const bool isEjected = endpoint["ejected"].toBool();
            ++total;
            if (!listsLive && !isEjected && state == "live")
                continue;
            table.rows.push_back({ textOf(endpoint, "id"), Cell(state, colorOf(state)),
                Cell(yesNo(endpoint["ejected"]), isEjected ? Color::Red : Color::None),
                numberText(endpoint, "inFlight"), numberText(endpoint, "usableSlots"),
                durationText(static_cast<std::int64_t>(endpoint["serviceMs"].toDouble())) });
        }
        return table;
    }

    Table shardTable(const QJsonObject& status)
    {
        Table table;
        table.header = { "SHARD", "EPOCH", "QUEUED", "RUNNING", "FINISHED", "FAILED", "CANCELLED" };
        table.rightAligned = { 1, 2, 3, 4, 5, 6 };
        for (const auto& value : status["batch"].toObject()["shards"].toArray()) {
            const QJsonObject shard = value.toObject();
            const QJsonObject jobs = shard["jobs"].toObject();
            std::vector<Cell> row { textOf(shard, "key"), numberText(shard, "epoch") };
            for (const char* state : { "queued", "running", "finished", "failed", "cancelled" })
                row.emplace_back(numberText(jobs, state));
            table.rows.push_back(std::move(row));
        }
        return table;
    }

    ExitCode runStatus(Context& context)
    {
        const Answer answer = call(context.client, { "GET", "/v1/status" });
        if (!isSuccess(answer))
            return failCall(context, answer);
        const QJsonObject& status = answer.body;
        if (context.isJson) {
            printJson(context, status);
            return ExitCode::Ok;
        }
        std::ostream& out = context.environment.out;
        const bool hasColor = context.environment.hasColor;
        const std::string state = textOf(status, "state");
        out << colored(printable(textOf(status, "daemon")), Color::Bold, hasColor) << " in "
            << printable(textOf(status, "dataCentre")) << ": " << colored(printable(state), colorOf(state), hasColor)
            << ", up " << durationText(static_cast<std::int64_t>(status["upSeconds"].toDouble() * 1000))
            << "\nrevision " << numberText(status, "revision")
            << (status["confirmed"].toBool() ? " confirmed" : " provisional") << ", evidence "
            << printable(textOf(status, "evidence")) << ", store "
            << (status["store"].toObject()["access"].toBool() ? "reachable"
                                                              : colored("unreachable", Color::Red, hasColor))
            << "\n";
        if (status["configurationAgeMs"].toInteger(-1) >= 0)
            out << "platform configuration " << numberText(status, "platformVersion") << ", known as of "
                << durationText(status["configurationAgeMs"].toInteger()) << " ago\n";
        const auto printTable = [&](const Table& table) {
            if (!table.rows.empty())
                out << "\n" << render(table, hasColor);
        };
        printTable(memberTable(status));
        printTable(dataCentreTable(status));
        std::size_t endpoints = 0;
        const Table endpointRows = endpointTable(status, context.options.count("all") > 0, endpoints);
        printTable(endpointRows);
        if (endpoints > endpointRows.rows.size())
            out << "\n"
                << endpoints - endpointRows.rows.size() << " of " << endpoints
                << " endpoints are live (--all lists them)\n";
        printTable(shardTable(status));
        return ExitCode::Ok;
    }

    // --- drain ---

    void addDrainOptions(cxxopts::Options& options)
    {
        options.add_options()("y,yes", "drain without asking")("wait", "wait until the daemon no longer answers")(
            "wait-timeout-s", "time limit of --wait", cxxopts::value<int>()->default_value("60"), "N");
    }

    ExitCode waitForStop(Context& context)
    {
        const std::int64_t deadline
            = context.environment.nowMs() + std::int64_t { 1000 } * context.options["wait-timeout-s"].as<int>();
        for (;;) {
            const Answer answer = call(context.client, { "GET", "/v1/status" });
            if (answer.kind == Answer::Kind::Unreachable) {
                clearProgress(context);
                return ExitCode::Ok;
            }
            if (context.environment.nowMs() >= deadline)
                return fail(context, ExitCode::Timeout, context.client.addresses[0] + " still answers");
            showProgress(context, "waiting for " + context.client.addresses[0] + " to finish its requests");
            context.environment.sleepMs(drainPollMs);
        }
    }

    ExitCode runDrain(Context& context)
    {
        if (context.client.addresses.size() != 1)
            return fail(
                context, ExitCode::Usage, "drain stops exactly the daemon that is named; name one with --daemon");
        const std::string& address = context.client.addresses[0];
        if (context.options.count("yes") == 0) {
            if (!context.environment.isTerminal || context.isJson)
                return fail(
                    context, ExitCode::Usage, "not on a terminal or with --json: use --yes to drain without asking");
            if (!confirm(context, "Drain and stop the daemon at " + address + "?"))
                return fail(context, ExitCode::Aborted, "nothing was done");
        }
        Call request { "POST", "/v1/drain" };
        request.isIdempotent = false;
        const Answer answer = call(context.client, request);
        if (!isSuccess(answer))
            return failCall(context, answer);
        if (context.options.count("wait") > 0) {
            const ExitCode code = waitForStop(context);
            if (code != ExitCode::Ok)
                return code;
        }
        const char* state = context.options.count("wait") > 0 ? "stopped" : "draining";
        if (context.isJson)
            printJson(context, { { "daemon", QString::fromStdString(address) }, { "state", state } });
        else
            context.environment.out << address << " " << state << "\n";
        return ExitCode::Ok;
    }

    // --- report batch ---

    struct BatchRow {
        std::string daemon;
        std::map<std::string, std::int64_t> counts;
    };

    constexpr const char* batchCounters[] = { "starts", "finished", "evictions", "failures", "takeovers" };
    constexpr const char* jobStates[] = { "queued", "running", "unknown" };

    BatchRow batchRowOf(const QJsonObject& status)
    {
        BatchRow row { textOf(status, "daemon"), {} };
        const QJsonObject batch = status["batch"].toObject();
        for (const char* counter : batchCounters)
            row.counts[counter] = batch[counter].toInteger();
        for (const auto& shard : batch["shards"].toArray()) {
            const QJsonObject jobs = shard.toObject()["jobs"].toObject();
            for (const char* state : jobStates)
                row.counts[state] += jobs[state].toInteger();
        }
        return row;
    }

    // Evictions per finished task, a measure of wasted batch work; `-` when no task has finished.
    std::string evictionsPerFinished(const BatchRow& row)
    {
        if (row.counts.at("finished") == 0)
            return "-";
        char buffer[32];
        std::snprintf(buffer, sizeof buffer, "%.3f",
            static_cast<double>(row.counts.at("evictions")) / static_cast<double>(row.counts.at("finished")));
        return buffer;
    }

    ExitCode runReportBatch(Context& context)
    {
        std::vector<BatchRow> rows;
        QJsonArray unreachable;
        Answer lastFailure;
        BatchRow total { "total", {} };
        for (const std::string& address : context.client.addresses) {
            Client singleDaemonClient = context.client;
            singleDaemonClient.addresses = { address };
            const Answer answer = call(singleDaemonClient, { "GET", "/v1/status" });
            if (!isSuccess(answer)) {
                unreachable.append(QString::fromStdString(address));
                lastFailure = answer;
                continue;
            }
            rows.push_back(batchRowOf(answer.body));
            for (const auto& [name, count] : rows.back().counts)
                total.counts[name] += count;
        }
        if (rows.empty())
            return failCall(context, lastFailure);
        if (context.isJson) {
            QJsonArray daemons;
            for (const BatchRow& row : rows) {
                QJsonObject object { { "daemon", QString::fromStdString(row.daemon) } };
                for (const auto& [name, count] : row.counts)
                    object[QString::fromStdString(name)] = static_cast<qint64>(count);
                daemons.append(object);
            }
            printJson(context, { { "daemons", daemons }, { "unreachable", unreachable } });
            return ExitCode::Ok;
        }
        Table table;
        table.header = { "DAEMON", "STARTS", "FINISHED", "EVICTIONS", "FAILURES", "TAKEOVERS", "QUEUED", "RUNNING",
            "UNKNOWN", "EVICTIONS/FINISHED" };
        table.rightAligned = { 1, 2, 3, 4, 5, 6, 7, 8, 9 };
        rows.push_back(total);
        for (const BatchRow& row : rows) {
            std::vector<Cell> cells { row.daemon };
            for (const char* counter : batchCounters)
                cells.emplace_back(std::to_string(row.counts.at(counter)));
            for (const char* state : jobStates)
                cells.emplace_back(std::to_string(row.counts.contains(state) ? row.counts.at(state) : 0));
            cells.emplace_back(evictionsPerFinished(row));
            table.rows.push_back(std::move(cells));
        }
        context.environment.out << render(table, context.environment.hasColor);
        for (const auto& address : unreachable) {
            context.environment.err << colored("warning: ", Color::Yellow, context.environment.hasColor)
                                    << "no answer from " << address.toString().toStdString() << "\n";
        }
        return ExitCode::Ok;
    }

    // --- report burn ---

    void addBurnOptions(cxxopts::Options& options)
    {
        options.add_options()(
            "html", "also write the report with plots into this file", cxxopts::value<std::string>(), "FILE");
    }

    ExitCode runReportBurn(Context& context)
    {
        std::vector<DaemonSlo> daemons;
        for (const std::string& address : context.client.addresses) {
            Client singleDaemonClient = context.client;
            singleDaemonClient.addresses = { address };
            const Answer answer = call(singleDaemonClient, { "GET", "/v1/slo" });
            if (isSuccess(answer))
                daemons.push_back(parseSlo(address, QJsonDocument(answer.body).toJson(QJsonDocument::Compact)));
            else
                daemons.push_back(
                    { address, std::nullopt, answer.detail.empty() ? "no usable answer" : answer.detail });
        }
        BurnOptions options;
        options.isJson = context.isJson;
        if (context.options.count("html") > 0)
            options.htmlFile = context.options["html"].as<std::string>();
        return static_cast<ExitCode>(runBurnReport(daemons, options, context.environment.out, context.environment.err));
    }

} // namespace

const Command statusCommand {
    .name = "status",
    .summary = "show a daemon, its peers, and on the scheduling daemon workers and term",
    .examples = "lacewingctl --daemon 10.0.0.1:8080 status\nlacewingctl status --all\nlacewingctl status --json",
    .needsDaemon = true,
    .addOptions = addStatusOptions,
    .run = runStatus,
};

const Command drainCommand {
    .name = "drain",
    .summary = "stop one daemon gracefully: it gives its term up and finishes its requests",
    .examples
    = "lacewingctl --daemon 10.0.0.1:8080 drain --wait\nlacewingctl --daemon 10.0.0.1:8080 drain --yes --json",
    .needsDaemon = true,
    .addOptions = addDrainOptions,
    .run = runDrain,
};

const Command reportBatchCommand {
    .group = "report",
    .name = "batch",
    .summary = "finished batch work and evictions of every named daemon",
    .examples
    = "lacewingctl --daemon 10.0.0.1:8080 --daemon 10.0.1.1:8080 report batch\nlacewingctl report batch --json",
    .needsDaemon = true,
    .run = runReportBatch,
};

const Command reportBurnCommand {
    .group = "report",
    .name = "burn",
    .summary = "service-level burn: error budgets, burn rates, worst endpoints and data centres",
    .examples = "lacewingctl --daemon 10.0.0.1:8080 --daemon 10.0.1.1:8080 report burn\n"
                "lacewingctl report burn --html burn.html\nlacewingctl report burn --json",
    .needsDaemon = true,
    .addOptions = addBurnOptions,
    .run = runReportBurn,
};

} // namespace lacewing::ctl
