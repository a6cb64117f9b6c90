// Text and JSON output of the bench.
#include "bench/output.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <iomanip>

namespace lacewing::bench {

namespace {

    constexpr int nameWidth = 40;
    constexpr int valueWidth = 14;

    QString text(const std::string& value) { return QString::fromStdString(value); }

    QString key(const char* name) { return QString::fromLatin1(name); }

    QJsonObject toObject(const std::string& scenario, const Table& table)
    {
        QJsonArray columns;
        for (const std::string& column : table.columns)
            columns.append(text(column));
        QJsonArray rows;
        for (const Row& row : table.rows) {
            QJsonArray values;
            for (const double value : row.values)
                values.append(value);
            rows.append(QJsonObject { { key("name"), text(row.name) }, { key("values"), values } });
        }
        return { { key("scenario"), text(scenario) }, { key("title"), text(table.title) }, { key("columns"), columns },
            { key("rows"), rows } };
    }

    std::pair<std::string, Table> toTable(const QJsonObject& object)
    {
        Table table;
        table.title = object[key("title")].toString().toStdString();
        const QJsonArray columns = object[key("columns")].toArray();
        for (const auto& column : columns)
            table.columns.push_back(column.toString().toStdString());
        const QJsonArray rows = object[key("rows")].toArray();
        for (const auto& item : rows) {
            Row row { item.toObject()[key("name")].toString().toStdString(), {} };
            const QJsonArray values = item.toObject()[key("values")].toArray();
            for (const auto& value : values)
                row.values.push_back(value.toDouble());
            table.rows.push_back(std::move(row));
        }
        return { object[key("scenario")].toString().toStdString(), std::move(table) };
    }

    Table compareTables(const Table& before, const Table& after)
    {
        Table ratios;
        ratios.title = after.title + " (ratio new/old)";
        ratios.columns = after.columns;
        for (const Row& row : after.rows) {
            const auto old = std::find_if(
                before.rows.begin(), before.rows.end(), [&](const Row& other) { return other.name == row.name; });
            if (old == before.rows.end() || old->values.size() != row.values.size())
                continue;
            Row ratio { row.name, {} };
            for (std::size_t index = 0; index < row.values.size(); ++index)
                ratio.values.push_back(old->values[index] == 0 ? -1 : row.values[index] / old->values[index]);
            ratios.rows.push_back(std::move(ratio));
        }
        return ratios;
    }

} // namespace

void printTable(std::ostream& out, const Table& table)
{
    out << table.title << '\n' << std::left << std::setw(nameWidth) << "" << std::right;
    for (const std::string& column : table.columns)
        out << ' ' << std::setw(valueWidth) << column;
    out << '\n' << std::fixed << std::setprecision(2);
    for (const Row& row : table.rows) {
        out << std::left << std::setw(nameWidth) << row.name << std::right;
        for (const double value : row.values)
            out << ' ' << std::setw(valueWidth) << value;
        out << '\n';
    }
    out << std::flush;
}

std::string toJson(const Report& report)
{
    QJsonArray tables;
    for (const auto& [scenario, table] : report.tables)
        tables.append(toObject(scenario, table));
    // The seed is text, because a JSON number holds only 53 bits.
    const QJsonObject object { { key("revision"), text(report.revision) },
        { key("seed"), text(std::to_string(report.seed)) }, { key("scale"), report.scale }, { key("tables"), tables } };
    return QJsonDocument(object).toJson().toStdString();
}

base::Result<Report, OutputError> fromJson(const std::string& json)
{
    QJsonParseError error;
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(json), &error);
    if (!document.isObject() || !document[key("tables")].isArray())
        return OutputError { OutputError::Code::NotAReport, error.errorString().toStdString() };
    Report report;
    report.revision = document[key("revision")].toString().toStdString();
    report.seed = document[key("seed")].toString().toULongLong();
    report.scale = document[key("scale")].toDouble();
    const QJsonArray tables = document[key("tables")].toArray();
    for (const auto& table : tables)
        report.tables.push_back(toTable(table.toObject()));
    return report;
}

base::Result<Report, OutputError> readReport(const std::string& name)
{
    QFile file(text(name));
    if (!file.open(QIODevice::ReadOnly))
        return OutputError { OutputError::Code::CannotRead, name + ": " + file.errorString().toStdString() };
    return fromJson(file.readAll().toStdString());
}

base::Result<void, OutputError> writeReport(const std::string& name, const Report& report)
{
    QFile file(text(name));
    const QByteArray json = QByteArray::fromStdString(toJson(report));
    if (!file.open(QIODevice::WriteOnly | QIODevice::Truncate) || file.write(json) != json.size() || !file.flush())
        return OutputError { OutputError::Code::CannotWrite, name + ": " + file.errorString().toStdString() };
    return base::success();
}

std::vector<Table> compare(const Report& before, const Report& after)
{
    std::vector<Table> tables;
    for (const auto& [scenario, table] : after.tables) {
        const auto old = std::find_if(before.tables.begin(), before.tables.end(),
            [&name = scenario](const auto& other) { return other.first == name; });
        if (old != before.tables.end())
            tables.push_back(compareTables(old->second, table));
    }
    return tables;
}

} // namespace lacewing::bench
