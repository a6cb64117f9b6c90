// Merges the answers of the daemons and renders the burn report.
#include "ctl/report_burn.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <algorithm>
#include <cmath>
#include <ostream>

namespace lacewing::ctl {

namespace {

    using base::ObjectiveBurn;
    using base::SloCounts;
    using base::Window;

    constexpr std::size_t maxContributors = 5;

    struct ObjectiveReport {
        ObjectiveBurn burn;
        std::vector<base::Contributor> endpoints;
        std::vector<base::Contributor> dataCentres;
        std::array<std::vector<double>, base::windowCount> rates; // by window, then by bucket, oldest first
    };

    struct Report {
        std::vector<ObjectiveReport> entries;
        std::vector<std::pair<std::string, std::string>> missing; // address, reason
        std::size_t answered = 0;
        base::Duration shortestUpTime { 0 };
    };

    bool isSame(const base::Objective& left, const base::Objective& right)
    {
        return left.service == right.service && left.kind == right.kind;
    }

    void add(SloCounts& sum, const SloCounts& counts)
    {
        sum.total += counts.total;
        sum.failed += counts.failed;
        sum.slow += counts.slow;
    }

    ObjectiveReport makeObjectiveReport(const base::Objective& objective, const std::vector<DaemonSlo>& daemons)
    {
        ObjectiveReport entry;
        std::array<SloCounts, base::windowCount> windows {};
        std::array<std::vector<SloCounts>, base::windowCount> buckets;
        std::vector<base::SloSample> samples;
        for (const DaemonSlo& daemon : daemons) {
            if (!daemon.answer)
                continue;
            for (const base::SloSample& sample : daemon.answer->samples) {
                if (sample.key.service != objective.service)
                    continue;
                samples.push_back(sample);
                for (std::size_t window = 0; window < base::windowCount; ++window)
                    add(windows[window], sample.windows[window]);
            }
            const auto found = daemon.answer->buckets.find(objective.service);
            for (std::size_t window = 0; found != daemon.answer->buckets.end() && window < base::windowCount;
                 ++window) {
                buckets[window].resize(std::max(buckets[window].size(), found->second[window].size()));
                for (std::size_t index = 0; index < found->second[window].size(); ++index)
                    add(buckets[window][index], found->second[window][index]);
            }
        }
        entry.burn = base::evaluate(objective, windows);
        entry.endpoints = base::topContributors(objective, samples, base::ContributorKind::Endpoint, maxContributors);
        entry.dataCentres
            = base::topContributors(objective, samples, base::ContributorKind::DataCentre, maxContributors);
        for (std::size_t window = 0; window < base::windowCount; ++window) {
            for (const SloCounts& counts : buckets[window])
                entry.rates[window].push_back(base::burnRate(objective, counts));
        }
        return entry;
    }

    Report makeReport(const std::vector<DaemonSlo>& daemons)
    {
        Report report;
        // Daemons may have different configuration revisions in force. For an objective that differs, the definition
        // from the daemon with the latest clock reading is used.
        std::vector<const base::SloResponse*> answers;
        for (const DaemonSlo& daemon : daemons) {
            if (!daemon.answer) {
                report.missing.emplace_back(daemon.address, daemon.error);
                continue;
            }
            const base::Duration upTime = daemon.answer->upTime;
            report.shortestUpTime = answers.empty() ? upTime : std::min(report.shortestUpTime, upTime);
            answers.push_back(&*daemon.answer);
        }
        report.answered = answers.size();
        std::stable_sort(answers.begin(), answers.end(),
            [](const auto* left, const auto* right) { return left->timeMs > right->timeMs; });
        std::vector<base::Objective> objectives;
        for (const base::SloResponse* answer : answers) {
            for (const base::Objective& objective : answer->objectives) {
                const auto isSameObjective
                    = [&objective](const base::Objective& known) { return isSame(known, objective); };
                if (std::none_of(objectives.begin(), objectives.end(), isSameObjective))
                    objectives.push_back(objective);
            }
        }
        for (const base::Objective& objective : objectives)
            report.entries.push_back(makeObjectiveReport(objective, daemons));
        std::stable_sort(report.entries.begin(), report.entries.end(),
            [](const ObjectiveReport& left, const ObjectiveReport& right) {
                return left.burn.severity > right.burn.severity;
            });
        return report;
    }

    QString text(std::string_view value)
    {
        return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
    }

    // Replaces control characters by `?`, so that names cannot move the cursor.
    QString printableText(std::string_view value)
    {
        QString result = text(value);
        for (QChar& character : result) {
            if (character.category() == QChar::Other_Control)
                character = QLatin1Char('?');
        }
        return result;
    }

    QString describe(const base::Objective& objective)
    {
        const QString target = QString::number(objective.target * 100, 'g', 6) + QStringLiteral("%");
        if (objective.kind == base::ObjectiveKind::Availability)
            return target + QStringLiteral(" answered");
        const auto limit = objective.threshold ? base::toMilliseconds(*objective.threshold) : 0;
        return target + QStringLiteral(" within ") + QString::number(limit) + QStringLiteral(" ms");
    }

    QString rate(double value) { return QString::number(value, 'f', value < 10 ? 2 : 0); }

    QString severityText(const ObjectiveBurn& burn) { return text(base::nameOf(base::severityNames, burn.severity)); }

    QString windowName(std::size_t window) { return QLatin1String(base::windowShapes[window].name); }

    // --- Text ---

    void writeText(const Report& report, std::ostream& out)
    {
        QString result;
        for (const auto& [address, reason] : report.missing) {
            result += QStringLiteral("MISSING ") + printableText(address) + QStringLiteral(": ") + printableText(reason)
                + QStringLiteral(" (its requests are not in this report)\n");
        }
        result += QStringLiteral("%1 daemons answered, %2 missing; shortest up time %3 s\n")
                      .arg(report.answered)
                      .arg(report.missing.size())
                      .arg(static_cast<qint64>(base::toSeconds(report.shortestUpTime)));
        for (const ObjectiveReport& entry : report.entries) {
            result += QStringLiteral("\n%1  %2  alarm: %3  budget used (3d): %4%\n  burn rate")
                          .arg(printableText(entry.burn.objective.service), describe(entry.burn.objective),
                              severityText(entry.burn), QString::number(entry.burn.budgetUsedShare * 100, 'f', 1));
            for (std::size_t window = 0; window < base::windowCount; ++window)
                result += QStringLiteral("  ") + windowName(window) + QStringLiteral(" ")
                    + rate(entry.burn.windows[window].rate);
            result += QLatin1Char('\n');
            const auto list = [&result](const char* title, const std::vector<base::Contributor>& contributors) {
                for (const base::Contributor& item : contributors)
                    result += QStringLiteral("  %1 %2  burn rate (1h) %3  %4% of the bad requests\n")
                                  .arg(QLatin1String(title), printableText(item.name), rate(item.rate),
                                      QString::number(item.shareOfBad * 100, 'f', 0));
            };
            list("endpoint", entry.endpoints);
            list("data centre", entry.dataCentres);
        }
        out << result.toStdString();
    }

    // --- JSON ---

    QJsonArray contributorsJson(const std::vector<base::Contributor>& contributors)
    {
        QJsonArray result;
        for (const base::Contributor& item : contributors)
            result.append(QJsonObject { { QStringLiteral("name"), text(item.name) },
                { QStringLiteral("burnRate"), item.rate }, { QStringLiteral("shareOfBad"), item.shareOfBad } });
        return result;
    }

    QJsonObject toJson(const Report& report)
    {
        QJsonArray objectives;
        for (const ObjectiveReport& entry : report.entries) {
            QJsonObject rates;
            for (std::size_t window = 0; window < base::windowCount; ++window)
                rates[windowName(window)] = entry.burn.windows[window].rate;
            objectives.append(QJsonObject { { QStringLiteral("service"), text(entry.burn.objective.service) },
                { QStringLiteral("kind"), text(base::nameOf(base::objectiveKindNames, entry.burn.objective.kind)) },
                { QStringLiteral("target"), entry.burn.objective.target }, { QStringLiteral("burnRates"), rates },
                { QStringLiteral("budgetUsedShare"), entry.burn.budgetUsedShare },
                { QStringLiteral("severity"), severityText(entry.burn) },
                { QStringLiteral("endpoints"), contributorsJson(entry.endpoints) },
                { QStringLiteral("dataCentres"), contributorsJson(entry.dataCentres) } });
        }
        QJsonArray missing;
        for (const auto& [address, reason] : report.missing)
            missing.append(QJsonObject {
                { QStringLiteral("address"), text(address) }, { QStringLiteral("reason"), text(reason) } });
        return { { QStringLiteral("answered"), static_cast<qint64>(report.answered) },
            { QStringLiteral("missing"), missing }, { QStringLiteral("objectives"), objectives } };
    }

    // --- HTML ---

    // Burn rate by bucket on a square-root axis, so that a rate of 1 stays visible next to a rate of 100.
    QString plot(const std::vector<double>& rates, const QString& title)
    {
        constexpr double width = 366;
        constexpr double height = 100;
        const double highest = rates.empty() ? 16 : std::max(16.0, *std::max_element(rates.begin(), rates.end()));
        const auto y = [highest](double value) { return height - height * std::sqrt(value / highest); };
        QString svg = QStringLiteral("<figure><figcaption>%1</figcaption><svg viewBox=\"0 -4 420 112\" role=\"img\" "
                                     "aria-label=\"%1\">")
                          .arg(title);
        for (const double line : { 1.0, 14.4 }) {
            svg += QStringLiteral("<line x1=\"0\" x2=\"366\" y1=\"%1\" y2=\"%1\"/><text x=\"370\" y=\"%2\">%3</text>")
                       .arg(y(line), 0, 'f', 1)
                       .arg(y(line) + 4, 0, 'f', 1)
                       .arg(line);
        }
        const double step = rates.empty() ? 0 : width / static_cast<double>(rates.size());
        for (std::size_t index = 0; index < rates.size(); ++index) {
            svg += QStringLiteral("<rect x=\"%1\" y=\"%2\" width=\"%3\" height=\"%4\"/>")
                       .arg(static_cast<double>(index) * step, 0, 'f', 1)
                       .arg(y(rates[index]), 0, 'f', 1)
                       .arg(step * 0.8, 0, 'f', 1)
                       .arg(height - y(rates[index]), 0, 'f', 1);
        }
        return svg + QStringLiteral("</svg></figure>");
    }

    QString toHtml(const Report& report)
    {
        QString html = QStringLiteral(
            "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Burn report</title><style>"
            ":root{color-scheme:light dark}body{font:15px system-ui,sans-serif;max-width:60em;margin:2em "
            "auto;padding:0 1em}"
            "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #8886}"
            "td:first-child,th:first-child{text-align:left}svg{width:26em;max-width:100%}rect{fill:currentColor;"
            "opacity:.7}"
            "line{stroke:currentColor;stroke-dasharray:3}text{fill:currentColor;font-size:11px}figure{display:inline-"
            "block;"
            "margin:.5em 1em 0 0}.page{border-left:.4em solid #c33;padding-left:.6em}.ticket{border-left:.4em solid "
            "#c90;"
            "padding-left:.6em}@media print{:root{color-scheme:light}section{break-inside:avoid}}</style></head><body>"
            "<h1>Burn report</h1>");
        html += QStringLiteral("<p>%1 daemons answered, %2 missing.</p>")
                    .arg(report.answered)
                    .arg(report.missing.size());
        for (const auto& [address, reason] : report.missing)
            html += QStringLiteral("<p><strong>Missing:</strong> %1 (%2). Its requests are not in this report.</p>")
                        .arg(printableText(address).toHtmlEscaped(), printableText(reason).toHtmlEscaped());
        for (const ObjectiveReport& entry : report.entries) {
            html += QStringLiteral(
                "<section class=\"%1\"><h2>%2: %3</h2><p>Alarm: %1. Budget used over 3 days: %4%.</p>")
                        .arg(severityText(entry.burn), printableText(entry.burn.objective.service).toHtmlEscaped(),
                            describe(entry.burn.objective), QString::number(entry.burn.budgetUsedShare * 100, 'f', 1));
            html += QStringLiteral("<table><tr><th>Window</th><th>Requests</th><th>Burn rate</th></tr>");
            for (std::size_t window = 0; window < base::windowCount; ++window)
                html += QStringLiteral("<tr><td>%1</td><td>%2</td><td>%3</td></tr>")
                            .arg(windowName(window))
                            .arg(entry.burn.windows[window].counts.total)
                            .arg(rate(entry.burn.windows[window].rate));
            html += QStringLiteral("</table>");
            html
                += plot(entry.rates[static_cast<std::size_t>(Window::OneHour)], QStringLiteral("Burn rate, last hour"));
            html += plot(
                entry.rates[static_cast<std::size_t>(Window::ThreeDays)], QStringLiteral("Burn rate, last 3 days"));
            for (const auto* list : { &entry.endpoints, &entry.dataCentres }) {
                for (const base::Contributor& item : *list)
                    html += QStringLiteral("<p>%1 %2: burn rate %3 in the last hour, %4% of the bad requests</p>")
                                .arg(list == &entry.endpoints ? QStringLiteral("Endpoint")
                                                              : QStringLiteral("Data centre"),
                                    printableText(item.name).toHtmlEscaped(), rate(item.rate),
                                    QString::number(item.shareOfBad * 100, 'f', 0));
            }
            html += QStringLiteral("</section>");
        }
        return html + QStringLiteral("</body></html>\n");
    }

} // namespace

DaemonSlo parseSlo(const std::string& address, const QByteArray& body)
{
    DaemonSlo result { address, std::nullopt, {} };
    const QJsonDocument document = QJsonDocument::fromJson(body);
    if (!document.isObject()) {
        result.error = "answer is not a JSON object";
        return result;
    }
    result.answer = base::sloResponseFromJson(document.object(), result.error);
    return result;
}

int runBurnReport(
    const std::vector<DaemonSlo>& daemons, const BurnOptions& options, std::ostream& out, std::ostream& err)
{
    const Report report = makeReport(daemons);
    if (options.isJson)
        out << QJsonDocument(toJson(report)).toJson().toStdString();
    else
        writeText(report, out);
    if (!options.htmlFile.empty()) {
        QFile file(QString::fromStdString(options.htmlFile));
        const QByteArray html = toHtml(report).toUtf8();
        if (!file.open(QIODevice::WriteOnly | QIODevice::Truncate) || file.write(html) != html.size()
            || !file.flush()) {
            err << "cannot write " << options.htmlFile << ": " << file.errorString().toStdString() << "\n";
            return 9;
        }
    }
    return report.answered > 0 ? 0 : 3;
}

} // namespace lacewing::ctl
