// Parallel questions to the other daemons.
#include "daemon/job_search.h"

#include "daemon/membership_service.h"
#include "http/problem.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <memory>

namespace lacewing::daemon {

namespace {

    constexpr int questionTimeoutMs = 2000;
    constexpr int callTimeoutMs = 40000; // longer than the longest poll for events
    const QString noOwnerCode = "noOwner";

    int hopsOf(const http::Request& request) { return http::headerValue(request.headers, "Lacewing-Hops").toInt(); }

    std::string pathWithQuery(const http::Request& request)
    {
        return (request.query.isEmpty() ? request.path : request.path + "?" + request.query).toStdString();
    }

    http::Response notFound(const base::JobId& job, std::size_t ownShards)
    {
        http::Response response = http::ProblemBuilder(404, "unknownJob")
                                      .detail("no job " + QString::fromStdString(job.value))
                                      .executedNo()
                                      .response();
        http::setHeader(response.headers, "Lacewing-Shards", QByteArray::number(static_cast<qulonglong>(ownShards)));
        return response;
    }

    http::Response toResponse(const http::ClientResult& result)
    {
        http::Response response;
        response.status = result.status;
        response.body = result.body;
        http::setHeader(response.headers, "Content-Type", http::headerValue(result.headers, "Content-Type"));
        return response;
    }

} // namespace

struct JobSearch::Search {
    http::Request request;
    http::Responder responder;
    base::JobId job;
    std::size_t ownShards = 0;
    std::size_t knownShards = 0;
    std::size_t coveredShards = 0; // of the daemons that do not have the job
    std::size_t openQuestions = 0;
    bool isFound = false;
};

JobSearch::JobSearch(http::Client& client, const MembershipService& membership)
    : m_client(client)
    , m_membership(membership)
{
}

void JobSearch::send(
    const std::string& address, const http::Request& request, const std::string& path, int hops, Callback callback)
{
    http::ClientRequest message;
    message.method = request.method;
    message.url = QByteArray::fromStdString("http://" + address + path);
    message.body = request.body;
    http::setHeader(message.headers, "Lacewing-Hops", QByteArray::number(hops));
    if (!request.body.isEmpty())
        http::setHeader(message.headers, "Content-Type", "application/json");
    message.timeoutMs = callTimeoutMs;
    // Calls for jobs are idempotent by job id.
    message.mode = http::SendMode::Idempotent;
    m_client.send(message, std::move(callback));
}

void JobSearch::pass(const http::Request& request, const base::JobId& job, const http::Responder& responder,
    std::size_t ownShards, std::size_t knownShards)
{
    if (hopsOf(request) >= 1) {
        responder.respond(notFound(job, ownShards));
        return;
    }
    auto search = std::make_shared<Search>();
    search->request = request;
    search->responder = responder;
    search->job = job;
    search->ownShards = ownShards;
    search->knownShards = knownShards;
    search->coveredShards = ownShards;
    const auto addresses = m_membership.gatewayAddresses();
    search->openQuestions = addresses.size();
    if (addresses.empty()) {
        finishSearch(search);
        return;
    }
    for (const auto& [daemon, address] : addresses) {
        http::ClientRequest question;
        question.url = QByteArray::fromStdString("http://" + address + "/v1/jobs/" + job.value);
        http::setHeader(question.headers, "Lacewing-Hops", "1");
        question.timeoutMs = questionTimeoutMs;
        question.mode = http::SendMode::Idempotent;
        m_client.send(question, [this, search, address = address](const http::ClientResult& result) {
            search->openQuestions -= 1;
            if (result.ok() && result.status == 404)
                search->coveredShards += http::headerValue(result.headers, "Lacewing-Shards").toULongLong();
            if (result.ok() && result.status == 200 && !search->isFound) {
                search->isFound = true;
                const bool isStatus = search->request.method == "GET" && !search->request.path.endsWith("/events");
                if (isStatus) {
                    search->responder.respond(toResponse(result));
                    return;
                }
                send(address, search->request, pathWithQuery(search->request), 1,
                    [search](const http::ClientResult& answer) {
                        search->responder.respond(answer.ok()
                                ? toResponse(answer)
                                : http::ProblemBuilder(503, "ownerUnreachable")
                                      .detail("the daemon that owns the job did not answer")
                                      .response());
                    });
                return;
            }
            if (search->openQuestions == 0 && !search->isFound)
                finishSearch(search);
        });
    }
}

void JobSearch::finishSearch(const std::shared_ptr<Search>& search)
{
    const bool isCovered = search->knownShards > 0 && search->coveredShards >= search->knownShards;
    if (isCovered) {
        search->responder.respond(notFound(search->job, search->ownShards));
        return;
    }
    search->responder.respond(http::ProblemBuilder(503, "jobNotKnownNow")
                                  .detail("some shards have no reachable owner now; the job may be in one of them")
                                  .executedNo()
                                  .retryAfter(2)
                                  .response());
}

void JobSearch::passToOwner(const http::Request& request, const http::Responder& responder, const base::DaemonId& owner,
    const base::DataCentreId& dataCentre)
{
    std::vector<std::string> candidates;
    if (hopsOf(request) == 0) {
        // The known owner may be out of date, so the other daemons of the data centre are asked after it.
        const auto addresses = m_membership.gatewayAddresses();
        if (const auto known = addresses.find(owner); known != addresses.end())
            candidates.push_back(known->second);
        for (const base::DaemonId& daemon : m_membership.daemonsOf(dataCentre)) {
            const auto address = addresses.find(daemon);
            if (daemon != owner && address != addresses.end())
                candidates.push_back(address->second);
        }
    }
    tryNext(request, responder, std::move(candidates));
}

// A submission is idempotent by its job id, so it may go to several daemons in turn.
void JobSearch::tryNext(
    const http::Request& request, const http::Responder& responder, std::vector<std::string> candidates)
{
    if (candidates.empty()) {
        responder.respond(http::ProblemBuilder(503, noOwnerCode)
                              .detail("the shard of this job has no reachable owner now")
                              .executedNo()
                              .retryAfter(2)
                              .response());
        return;
    }
    const std::string address = candidates.front();
    candidates.erase(candidates.begin());
    send(address, request, pathWithQuery(request), 1,
        [this, request, responder, candidates = std::move(candidates)](const http::ClientResult& result) {
            const bool isWithoutOwner = result.ok() && result.status == 503
                && QJsonDocument::fromJson(result.body)["code"].toString() == noOwnerCode;
            const bool isNotSent = !result.ok() && result.bytesSent == http::BytesSent::None;
            if (isWithoutOwner || isNotSent) {
                tryNext(request, responder, candidates);
                return;
            }
            if (result.ok()) {
                responder.respond(toResponse(result));
                return;
            }
            responder.respond(http::ProblemBuilder(503, "ownerUnreachable")
                                  .detail("the daemon that owns the shard did not answer; repeat with the same id")
                                  .retryAfter(2)
                                  .response());
        });
}

void JobSearch::list(const http::Request& request, const http::Responder& responder, QJsonArray jobs)
{
    struct Collection {
        QJsonArray jobs;
        QJsonArray unreachable;
        std::size_t openQuestions = 0;
    };
    auto collection = std::make_shared<Collection>();
    collection->jobs = std::move(jobs);
    const auto finish = [collection, responder] {
        const QJsonObject body { { "jobs", collection->jobs }, { "unreachable", collection->unreachable } };
        responder.respond(http::jsonResponse(200, QJsonDocument(body).toJson(QJsonDocument::Compact)));
    };
    const auto addresses = m_membership.gatewayAddresses();
    if (hopsOf(request) >= 1 || addresses.empty()) {
        finish();
        return;
    }
    collection->openQuestions = addresses.size();
    for (const auto& [daemon, address] : addresses) {
        http::ClientRequest question;
        question.url = QByteArray::fromStdString("http://" + address + pathWithQuery(request));
        http::setHeader(question.headers, "Lacewing-Hops", "1");
        question.timeoutMs = questionTimeoutMs;
        question.mode = http::SendMode::Idempotent;
        m_client.send(question, [collection, finish, daemon = daemon](const http::ClientResult& result) {
            if (result.ok() && result.status == 200) {
                const QJsonArray part = QJsonDocument::fromJson(result.body)["jobs"].toArray();
                for (const QJsonValue job : part)
                    collection->jobs.append(job);
            } else {
                collection->unreachable.append(QString::fromStdString(daemon.value));
            }
            collection->openQuestions -= 1;
            if (collection->openQuestions == 0)
                finish();
        });
    }
}

} // namespace lacewing::daemon
