// Problem details (RFC 9457) with the project's members `code`, `executed` and `field`.
//
// `executed` is `No` only if the request was certainly not executed (invariant I6). It is never the default.
#pragma once

#include "base/names.h"
#include "http/message.h"

#include <QByteArray>
#include <QString>
#include <optional>

namespace lacewing::http {

enum class Executed { No, Unknown };

constexpr base::EnumNames<Executed, 2> executedNames { { { Executed::No, "no" }, { Executed::Unknown, "unknown" } } };

struct Problem {
    int status = 500;                      // HTTP status
    QString code;                          // reason code, stable, for programs ("queueFull")
    QString title;                         // default: reason phrase of the status
    QString detail;                        // one sentence for the user
    QString field;                         // name of the wrong field, may be empty
    Executed executed = Executed::Unknown; // whether the request was executed
    std::optional<int> retryAfterSeconds;  // becomes header Retry-After
};

// Usage: `ProblemBuilder(503, "storeDown").detail("...").executedNo().response()`.
class ProblemBuilder {
public:
    ProblemBuilder(int status, const QString& code);

    ProblemBuilder& title(const QString& text);
    ProblemBuilder& detail(const QString& text);
    ProblemBuilder& field(const QString& name);
    // Only when no byte of the request was passed to a component that could execute it, or when that component reported
    // that it was not executed.
    ProblemBuilder& executedNo();
    ProblemBuilder& retryAfter(int seconds);

    Problem problem() const;
    Response response() const;

private:
    Problem m_problem;
};

// JSON object {type, title, status, detail, code, executed, field?}; type is "urn:lacewing:problem:<code>".
QByteArray problemJson(const Problem& problem);
// Response of type application/problem+json.
Response problemResponse(const Problem& problem);

} // namespace lacewing::http
