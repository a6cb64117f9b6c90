// Reads the daemons' log lines about terms.
#include "soak/terms.h"

#include "base/time.h"

#include <QJsonDocument>

namespace lacewing::soak {

namespace {

    // Newest open term of the daemon, or null.
    Term* openTerm(TermLog& log, const std::string& daemon)
    {
        for (auto it = log.terms.rbegin(); it != log.terms.rend(); ++it) {
            if (it->daemon == daemon)
                return it->endedAt == 0 ? &*it : nullptr;
        }
        return nullptr;
    }

    std::string sinceText(std::int64_t at, std::int64_t origin) { return at == 0 ? "-" : std::to_string(at - origin); }

} // namespace

std::int64_t nowMs() { return base::toMilliseconds(base::monotonicNow().time_since_epoch()); }

void applyLine(TermLog& log, const std::string& daemon, const QByteArray& line)
{
    if (!line.contains("\"elected\"") && !line.contains("\"term"))
        return;
    const QJsonDocument json = QJsonDocument::fromJson(line);
    const QString event = json["event"].toString();
    if (event == QLatin1String("elected")) {
        log.terms.push_back({ daemon, json["token"].toInteger(), nowMs(), 0, 0, 0, {} });
        return;
    }
    Term* term = openTerm(log, daemon);
    if (!term)
        return;
    if (event == QLatin1String("termLoaded")) {
        term->loadedAt = nowMs();
    } else if (event == QLatin1String("termAccounted")) {
        term->accountedAt = nowMs();
    } else if (event == QLatin1String("termEnded")) {
        term->endedAt = nowMs();
        term->endReason = json["reason"].toString().toStdString();
    }
}

void applyProcessEnd(TermLog& log, const std::string& daemon)
{
    if (Term* term = openTerm(log, daemon)) {
        term->endedAt = nowMs();
        term->endReason = "process ended";
    }
}

std::vector<std::string> describe(const TermLog& log, std::int64_t origin)
{
    std::vector<std::string> lines;
    for (const Term& term : log.terms)
        lines.push_back("term " + std::to_string(term.token) + " of " + term.daemon + ": elected "
            + sinceText(term.electedAt, origin) + ", termLoaded " + sinceText(term.loadedAt, origin)
            + ", termAccounted " + sinceText(term.accountedAt, origin) + ", ended " + sinceText(term.endedAt, origin)
            + (term.endReason.empty() ? "" : " (" + term.endReason + ")"));
    return lines;
}

} // namespace lacewing::soak
