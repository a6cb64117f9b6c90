// Command accounts.
#include "ctl/commands.h"

#include <QJsonArray>
#include <ostream>

namespace lacewing::ctl {

namespace {

    std::string textOf(const QJsonValue& value) { return value.toString().toStdString(); }

    // Number of jobs, which only the scheduling daemon has.
    std::string countText(const QJsonValue& value)
    {
        return value.isDouble() ? std::to_string(value.toInteger()) : "-";
    }

    // Limits of 0 are none.
    std::string limitText(const QJsonValue& value)
    {
        return value.toInteger() > 0 ? std::to_string(value.toInteger()) : "-";
    }

    std::string refusalText(const QJsonObject& refusals)
    {
        std::string text;
        for (auto it = refusals.begin(); it != refusals.end(); ++it)
            text += (text.empty() ? "" : ", ") + it.key().toStdString() + ' ' + std::to_string(it.value().toInteger());
        return text.empty() ? "-" : text;
    }

    ExitCode runAccounts(Context& context)
    {
        const Answer answer = call(context.client, { "GET", "/v1/accounts" });
        if (!isSuccess(answer))
            return failCall(context, answer);
        if (context.isJson) {
            printJson(context, answer.body);
            return ExitCode::Ok;
        }
        std::ostream& out = context.environment.out;
        if (!answer.body["hasAccounts"].toBool())
            out << "this deployment has no client accounts: requests need no key\n";
        Table table;
        table.header = { "ACCOUNT", "WEIGHT", "CPU MILLI", "MEMORY MB", "GPUS", "RUNNING", "WAITING", "REFUSALS" };
        table.rightAligned = { 1, 2, 3, 4, 5, 6 };
        for (const auto& value : answer.body["accounts"].toArray()) {
            const QJsonObject account = value.toObject();
            const QJsonObject cap = account["cap"].toObject();
            const bool isRemoved = account["isRemoved"].toBool();
            const std::string weight
                = isRemoved ? "removed" : QString::number(account["weight"].toDouble()).toStdString();
            table.rows.push_back({ textOf(account["name"]), Cell(weight, isRemoved ? Color::Yellow : Color::None),
                limitText(cap["cpuMilli"]), limitText(cap["memoryMb"]), limitText(cap["accelerators"]),
                countText(account["running"]), countText(account["waiting"]),
                refusalText(account["refusals"].toObject()) });
        }
        if (!table.rows.empty())
            out << render(table, context.environment.hasColor);
        const QJsonObject unknown = answer.body["refusalsWithoutAccount"].toObject();
        if (!unknown.isEmpty())
            out << "refused without an account: " << refusalText(unknown) << "\n";
        return ExitCode::Ok;
    }

} // namespace

const Command accountsCommand {
    .name = "accounts",
    .summary = "show client accounts with weight, cap, jobs (on the scheduling daemon) and refusals of this daemon",
    .examples = "lacewingctl --daemon 10.0.0.1:8080 accounts\nlacewingctl accounts --json",
    .needsDaemon = true,
    .run = runAccounts,
};

} // namespace lacewing::ctl
