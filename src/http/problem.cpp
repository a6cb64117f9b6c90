// Problem details as JSON.
#include "http/problem.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace lacewing::http {

ProblemBuilder::ProblemBuilder(int status, const QString& code)
{
    m_problem.status = status;
    m_problem.code = code;
    m_problem.title = QString::fromLatin1(reasonPhrase(status));
}

ProblemBuilder& ProblemBuilder::title(const QString& text)
{
    m_problem.title = text;
    return *this;
}

ProblemBuilder& ProblemBuilder::detail(const QString& text)
{
    m_problem.detail = text;
    return *this;
}

ProblemBuilder& ProblemBuilder::field(const QString& name)
{
    m_problem.field = name;
    return *this;
}

ProblemBuilder& ProblemBuilder::executedNo()
{
    m_problem.executed = Executed::No;
    return *this;
}

ProblemBuilder& ProblemBuilder::retryAfter(int seconds)
{
    m_problem.retryAfterSeconds = seconds;
    return *this;
}

Problem ProblemBuilder::problem() const { return m_problem; }

Response ProblemBuilder::response() const { return problemResponse(m_problem); }

QByteArray problemJson(const Problem& problem)
{
    const std::string_view executed = base::nameOf(executedNames, problem.executed);
    QJsonObject object;
    object["type"] = QString("urn:lacewing:problem:" + problem.code);
    object["title"] = problem.title;
    object["status"] = problem.status;
    object["detail"] = problem.detail;
    object["code"] = problem.code;
    object["executed"] = QString::fromLatin1(executed.data(), static_cast<qsizetype>(executed.size()));
    if (!problem.field.isEmpty())
        object["field"] = problem.field;
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

Response problemResponse(const Problem& problem)
{
    Response response { problem.status, { { "Content-Type", "application/problem+json" } }, problemJson(problem),
        false };
    if (problem.retryAfterSeconds)
        response.headers.push_back({ "Retry-After", QByteArray::number(*problem.retryAfterSeconds) });
    return response;
}

} // namespace lacewing::http
